package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// goneState is what is known of the death of an upstream.
type goneState struct {
	until      time.Duration // end of the verdict that it is gone
	since      time.Duration // the round that found it began
	replacedAt time.Duration // when this VM learnt that its address belongs to a later start, or 0
	suspect    bool          // in Engine.suspects
	askedFor   time.Duration // arrival of the request without a response
	changedAt  time.Duration // last change of its entry
	listedAt   time.Duration // when this VM learnt of this start
}

// gone reports whether other VMs have confirmed that u is dead.
func (e *Engine) gone(u *upstream) bool { return e.now < u.death.until }

// noteReplaced finds the upstreams whose address belongs to one that started later: they have ended, since
// two can't listen there. One that was listed before is none, whatever its clock said at its start.
func (e *Engine) noteReplaced() {
	latest := map[sparflow.Endpoint]*upstream{}
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

// noteSuspect records that the pending request of f was retransmitted or hangs and that u has answered
// no client of this VM since it came. A VM that was just paused may not have read the responses. An
// upstream that drains is about to stop, and mayReset knows what to do with its flows.
func (e *Engine) noteSuspect(f *flow) {
	u := f.upstream
	if f.requestedAt == 0 || u.Draining || e.JustPaused() {
		return
	}
	u.death.askedFor = max(u.death.askedFor, f.requestedAt)
	if !u.death.suspect {
		u.death.suspect = true
		e.suspects = append(e.suspects, u)
	}
}

// Suspects returns the upstreams that have left a request without a response since the last
// call, and have answered no client of this VM meanwhile.
func (e *Engine) Suspects() (list []sparprobe.Suspect) {
	for _, u := range e.suspects {
		u.death.suspect = false
		if e.upstreams[u.ID] == u && u.lastResponse <= u.death.askedFor && !e.gone(u) && !u.replaced() && !e.JustPaused() {
			list = append(list, sparprobe.Suspect{Upstream: e.describe(u), Since: u.death.askedFor})
		}
	}
	e.suspects = e.suspects[:0]
	return list
}

// JustPaused reports whether this VM was paused so recently that responses may be waiting that it has
// not read. A pause that no tick has noticed yet counts.
func (e *Engine) JustPaused() bool {
	return e.now-e.pausedAt < catchUpTime || e.now-e.checkedAt >= pauseLimit
}

// Look returns what this VM knows of the upstream with a mark: one in the roster, or one removed
// lately.
func (e *Engine) Look(mark uint64) (d sparprobe.Upstream, ok bool) {
	u := e.marks[mark]
	if u == nil {
		return sparprobe.Upstream{}, false
	}
	return e.describe(u), true
}

func (e *Engine) describe(u *upstream) sparprobe.Upstream {
	return sparprobe.Upstream{
		ID: u.ID, Born: u.Born, Service: u.Service, Domain: u.Domain, At: u.At, Draining: u.Draining,
		Flows: u.flows, Answered: u.lastResponse, Changed: u.death.changedAt,
	}
}

// indexMarks updates the index of upstreams by mark.
func (e *Engine) indexMarks() {
	clear(e.marks)
	for _, u := range e.upstreams {
		e.marks[sparprobe.Upstream{ID: u.ID, Born: u.Born}.Mark()] = u
	}
}

// SetGone puts a verdict on an upstream in force, or ends it.
func (e *Engine) SetGone(o sparprobe.Outcome) {
	u := e.marks[o.Mark()]
	if u == nil {
		return
	}
	switch o.Kind {
	case sparprobe.Gone, sparprobe.Confirmed:
		u.death.until = o.Until
		u.death.since = e.now - o.Age
	case sparprobe.Back:
		u.death.until = 0
	}
}

// resetsGone reports whether a packet of f is answered with a reset because u is gone. Not, if it
// shows a sign of life: that u has accepted the flow, or answered a request, that came after it was found
// silent. A flow that has moved here since then may have been opened at a later start of u, which
// other VMs know sooner. A packet without data is left to observe. After a pause, a sign
// of life may be waiting.
func (e *Engine) resetsGone(u *upstream, f *flow, s Segment) bool {
	if s.Kind != Data || s.Size == 0 || e.elsewhere(s) {
		return false
	}
	if u.removed && u.replaced() {
		return true
	}
	if !e.gone(u) || e.JustPaused() || f.began > u.death.since {
		return false
	}
	return !f.opened || !(seqAfter(s.Ack, f.ack) && f.requestedAt > u.death.since)
}

// elsewhere reports whether s has the cookie of an upstream that this VM does not know: other VMs may
// know it, and the record with the addresses of s is of an earlier flow or SYN.
func (e *Engine) elsewhere(s Segment) bool { return s.Cookie != 0 && e.cookies[s.Cookie] == nil }
