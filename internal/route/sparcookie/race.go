package sparcookie

import "time"

const (
	// racesToEject is the number of openings in a row that an upstream must lose to the second
	// one, without a response to any client meanwhile, to be ejected. One lost race shows
	// nothing, since the client drops the SYN-ACK that comes second.
	racesToEject = 2
	// avoidTime is how long an upstream is passed over after an opening there was due for a hedge,
	// unless it answers any client: longer than a short pause of a server that runs.
	avoidTime = 300 * time.Millisecond
)

// lostRaces counts openings that an upstream has lost since its last response.
type lostRaces struct {
	count int
	at    time.Duration
}

// noteCopy records a copy of the SYN of f from its client. It takes the place of a hedge that is not
// sent yet. If one was sent, neither upstream has answered: then the second one has a SYN without
// an answer, too.
func (e *Engine) noteCopy(f *flow) {
	f.hedge.queued = false
	second := f.hedge.rival
	if second != nil && second.syn.lastAt > second.lastResponse && second.syn.unansweredSince == 0 {
		second.syn.unansweredSince = second.syn.lastAt
	}
}

// settleRace returns the upstream of a flow whose packet s has the cookie of u. A SYN may have gone to
// several upstreams, by a hedge or by copies that moved. The first packet after it has the cookie of the SYN-ACK
// that the client has taken, and the flow is at that upstream. The client may put the cookie of a SYN-ACK that
// comes later into its packets; while their acknowledgement is the same, they belong to the flow all the same,
// also data that it repeats, as the upstream may be at work on it. Only if that upstream is no longer there do
// they follow their cookie.
func (e *Engine) settleRace(f *flow, u *upstream, s Segment) *upstream {
	switch {
	case f == nil:
		return u
	case !f.opened:
		f.hedge.settled = true
		if f.upstream != u {
			e.openElsewhere(f, u)
		}
		return u
	case f.hedge.rival == u, f.hedge.settled && s.Ack == f.ack && !e.hasLeft(f.upstream):
		return f.upstream
	}
	return u
}

// hasLeft reports whether u was removed, or the verdict is in force that no VM reaches it.
func (e *Engine) hasLeft(u *upstream) bool { return u.removed || e.gone(u) }

// openElsewhere records that the client of f has taken the SYN-ACK of u, and not that of the upstream
// that its last SYN went to.
func (e *Engine) openElsewhere(f *flow, u *upstream) {
	first := f.upstream
	if f.hedge.rival == u {
		e.noteLostRace(first, f.began)
		if e.hedges != nil { // hedges may have been switched off since
			e.hedges.stats.Won++
		}
		f.hedge.rival = first
	} else {
		e.noteLostRace(first, f.lastProgress)
	}
	f.upstream = u
	if !f.closed {
		first.load.flows--
		u.load.flows++
	}
}

// noteLostRace records that the client has taken the SYN-ACK of another upstream than u for a SYN that
// went to u at a time. Its packets don't show whether u has sent one too, so a single SYN is no evidence
// against u.
func (e *Engine) noteLostRace(u *upstream, sent time.Duration) {
	if u.races.at <= u.lastResponse {
		u.races.count = 0
	}
	u.races.count++
	u.races.at = e.now
	if u.syn.unansweredSince == sent {
		u.syn.unansweredSince = 0
	}
	if u.races.count >= racesToEject || u.health.Probing() {
		u.races.count = 0
		e.emitHealth(u, u.health.Ejected(e.now))
	}
}

// avoided reports whether new flows pass over u, since an opening there took longer than usual and
// u has answered no client meanwhile. This is no failure of u, whose health stays.
func (e *Engine) avoided(u *upstream) bool {
	return u.syn.avoidedAt > u.lastResponse && e.now-u.syn.avoidedAt < avoidTime
}
