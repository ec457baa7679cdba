package sparcookie

import "github.com/oleanderspar/oleanderspar/internal/route/sparprobe"

// asking is what an engine needs to have other VMs asked about upstreams.
type asking struct {
	suspects []*upstream          // for the next Suspects
	marks    map[uint64]*upstream // all known upstreams by mark
}

// noteSuspect records that the pending request of f was retransmitted or hangs, while u has answered no
// client of this VM since it arrived. It leaves out an upstream that drains, since it is about to stop
// (mayReset decides on its flows), and all of them after a pause of this VM, since responses may be unread.
func (e *Engine) noteSuspect(f *flow) {
	u := f.upstream
	if f.requestedAt == 0 || u.Draining || e.JustPaused() {
		return
	}
	u.death.suspectedFor = max(u.death.suspectedFor, f.requestedAt)
	if !u.death.isSuspect {
		u.death.isSuspect = true
		e.asking.suspects = append(e.asking.suspects, u)
	}
}

// Suspects returns the upstreams that have left a request without a response since the last
// call, and have answered no client of this VM meanwhile.
func (e *Engine) Suspects() (list []sparprobe.Suspect) {
	for _, u := range e.asking.suspects {
		u.death.isSuspect = false
		if e.upstreams[u.ID] == u && u.lastResponse <= u.death.suspectedFor && !e.gone(u) && !u.replaced() && !e.JustPaused() {
			list = append(list, sparprobe.Suspect{Upstream: e.describe(u), Since: u.death.suspectedFor})
		}
	}
	e.asking.suspects = e.asking.suspects[:0]
	return list
}

// Look returns what this VM knows of the upstream with a mark: one in the roster, or one removed
// lately.
func (e *Engine) Look(mark uint64) (d sparprobe.Upstream, ok bool) {
	u := e.asking.marks[mark]
	if u == nil {
		return sparprobe.Upstream{}, false
	}
	return e.describe(u), true
}

// describe returns what this VM knows of u.
func (e *Engine) describe(u *upstream) sparprobe.Upstream {
	return sparprobe.Upstream{
		ID: u.ID, Born: u.Born, Service: u.Service, Domain: u.Domain, At: u.At, Draining: u.Draining,
		Flows: u.load.flows, Answered: u.lastResponse, Changed: u.death.changedAt,
	}
}

// indexMarks updates the index of upstreams by mark.
func (e *Engine) indexMarks() {
	clear(e.asking.marks)
	for _, u := range e.upstreams {
		e.asking.marks[sparprobe.Upstream{ID: u.ID, Born: u.Born}.Mark()] = u
	}
}
