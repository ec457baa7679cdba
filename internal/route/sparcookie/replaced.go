package sparcookie

import "github.com/oleanderspar/oleanderspar/internal/flow/sparflow"

// noteReplaced finds the upstreams whose address belongs to one that started later. They have ended, since
// two can't listen there. One that was listed before is no later owner, whatever its clock said at its start.
func (e *Engine) noteReplaced() {
	latest := map[sparflow.Endpoint]*upstream{} // in the roster, by address
	for _, u := range e.upstreams {
		if last := latest[u.At]; !u.removed && (last == nil || last.Born < u.Born) {
			latest[u.At] = u
		}
	}
	for _, u := range e.upstreams {
		last := latest[u.At]
		if u.Born == 0 || last == nil || last.Born <= u.Born || last.death.listedAt < u.death.listedAt {
			u.death.replacedAt = 0
		} else if u.death.replacedAt == 0 {
			u.death.replacedAt = e.now
		}
	}
}

// replaced reports whether the address of u belongs to a later start, and its own entry was removed, or
// nothing has shown that it runs since this VM learnt of the later start.
func (u *upstream) replaced() bool {
	return u.death.replacedAt > 0 && (u.removed || u.aliveAt <= u.death.replacedAt)
}
