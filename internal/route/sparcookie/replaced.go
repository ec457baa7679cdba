package sparcookie

import "github.com/oleanderspar/oleanderspar/internal/flow/sparflow"

// noteReplaced finds the upstreams whose address belongs to one that started later. They have ended, since
// two can't listen there.
func (e *Engine) noteReplaced() {
	latest := map[sparflow.Endpoint]int64{} // start of the latest upstream in the roster, by address
	for _, u := range e.upstreams {
		if !u.removed {
			latest[u.At] = max(latest[u.At], u.Born)
		}
	}
	for _, u := range e.upstreams {
		if u.Born == 0 || latest[u.At] <= u.Born {
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
