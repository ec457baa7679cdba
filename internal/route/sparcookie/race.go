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
	second := f.hedge.second
	if second != nil && second.lastSYN > second.lastResponse && second.pendingSince == 0 {
		second.pendingSince = second.lastSYN
	}
}

// settleRace gives a flow to the second upstream of its opening if u is that one: its packets show
// which SYN-ACK the client has taken.
func (e *Engine) settleRace(f *flow, u *upstream) {
	if f == nil || f.opened || f.hedge.second != u {
		return
	}
	first := f.upstream
	e.noteLostRace(first, f.began)
	e.hedges.stats.Won++
	f.hedge.second = nil
	f.upstream = u
	if !f.closed {
		first.flows--
		u.flows++
	}
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
