package sparcookie

import "time"

const (
	// racesToEject is the number of openings in a row that an upstream must lose to the second
	// one, without a response to any client meanwhile, to count as silent. One lost race shows
	// nothing, since the client drops the SYN-ACK that comes second.
	racesToEject = 2
	// avoidTime is how long an upstream is passed over after an opening there was due for a hedge,
	// unless it answers any client: about the pauses of a server that runs.
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
	f.hedge.awaiting = false
	second := f.hedge.rival
	if second != nil && second.lastSYN > second.lastResponse && second.pendingSince == 0 {
		second.pendingSince = second.lastSYN
	}
}

// settleRace returns the upstream of a flow whose packet has the cookie of u. If its SYN went to two
// upstreams, the first packet shows which SYN-ACK the client has taken, and the flow stays there: a
// later cookie of the other one comes from its SYN-ACK, which the client has received as well.
func (e *Engine) settleRace(f *flow, u *upstream) *upstream {
	if f == nil || f.hedge.rival != u {
		return u
	}
	if f.opened {
		return f.upstream
	}
	first := f.upstream
	e.noteLostRace(first, f.began)
	e.hedges.stats.Won++
	f.upstream, f.hedge.rival = u, first
	if !f.closed {
		first.flows--
		u.flows++
	}
	return u
}

// noteLostRace records that the client has taken the SYN-ACK of another upstream than u for an
// opening that began at a time. The client tells nothing of that of u, so the SYN is no evidence
// against u by itself.
func (e *Engine) noteLostRace(u *upstream, began time.Duration) {
	if u.races.at <= u.lastResponse {
		u.races.count = 0
	}
	u.races.count++
	u.races.at = e.now
	if u.pendingSince == began {
		u.pendingSince = 0
	}
	if u.races.count >= racesToEject || u.health.Probing() {
		u.races.count = 0
		e.emitHealth(u, u.health.Ejected(e.now))
	}
}

// avoided reports whether new flows pass over u, since an opening there took longer than usual and
// u has answered no client meanwhile. This is no failure of u, whose health stays.
func (e *Engine) avoided(u *upstream) bool {
	return u.avoidedAt > u.lastResponse && e.now-u.avoidedAt < avoidTime
}
