package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

type (
	// flowKey identifies a flow.
	flowKey struct {
		client, service sparflow.Endpoint
	}

	// flow is the record of one flow.
	flow struct {
		upstream     *upstream
		began        time.Duration // time of the first SYN
		placedAt     time.Duration // time of the last SYN, 0 if another VM placed the flow
		lastProgress time.Duration // last packet that the client received, or last SYN sent
		requestedAt  time.Duration // arrival of the pending request, or 0
		lastSeen     time.Duration // last packet of the client
		countedAt    time.Duration // last time that it counted in unansweredFlows, or 0
		nextSeq      uint32        // sequence number after the last data seen
		ack          uint32        // highest acknowledgement seen
		relayCopies  int           // packets also sent through another VM
		overdue      bool          // the pending request has counted as overdue
		opened       bool
		charged      bool // its next request has counted as its opening
		closed       bool
		hedge        hedgeState
	}
)

func keyOf(s Segment) flowKey { return flowKey{client: s.From, service: s.To} }

// seqAfter reports whether sequence number a follows b.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }

// noteRequest records a request, unless one is already pending.
func (e *Engine) noteRequest(f *flow) {
	if f.requestedAt == 0 {
		f.requestedAt = e.now
		e.chargeRequest(f)
		e.beginPending(f)
		f.upstream.load.recent.add(e.now, recentSpan)
		f.upstream.load.rate.add(e.now, rateSpan)
		e.limiter(f.upstream.Service).Request(e.now)
	}
}

// noteAbandoned records the end of a flow by its client. If the client abandons a
// request, the result is how long the request has waited. Abandoned requests have to
// count as load: otherwise the end of their flows would make an upstream that does not
// answer look less loaded than the others.
func (e *Engine) noteAbandoned(f *flow) (waited time.Duration, abandoned bool) {
	waited = e.now - f.requestedAt
	if f.requestedAt == 0 || waited < minRetransmitAge {
		return 0, false
	}
	e.noteGivenUp(f)
	f.requestedAt = 0
	e.stats.Abandoned++
	f.upstream.load.abandoned.add(e.now, abandonedSpan)
	return waited, true
}

// noteProgress records that the client has received a packet from the upstream.
func (e *Engine) noteProgress(f *flow) {
	f.lastProgress = e.now
	u := f.upstream
	e.noteDomainAnswer(u)
	u.lastResponse, u.syn.unansweredSince, u.unansweredFlows = e.now, 0, 0
	u.death.goneUntil = 0
	e.noteReturn(u, u.health.Answered(e.now))
}

// noteAlive records that u was running at a time. An acknowledgement that comes with data tells when
// the request before arrived, and not when the response did: clients may send it much later.
func (u *upstream) noteAlive(at time.Duration) {
	if at > u.aliveAt {
		u.aliveAt, u.copiesSinceAlive = at, 0
	}
}

// noteUnanswered records that u has not answered a packet of f and no other client has
// received a response from u meanwhile. Each flow counts once until u responds again.
func (e *Engine) noteUnanswered(u *upstream, f *flow) {
	if f.countedAt <= u.lastResponse || f.countedAt == 0 {
		f.countedAt = e.now
		u.unansweredFlows++
	}
	e.emitHealth(u, u.health.Failed(e.now))
}

// emitHealth emits an event if the health of u has changed.
func (e *Engine) emitHealth(u *upstream, changed bool) {
	if changed {
		e.emit(HealthChanged{Upstream: u.Upstream, State: u.health.State(), Silent: e.now - u.lastResponse})
	}
}

// Flows returns the number of flows on record.
func (e *Engine) Flows() int { return len(e.flows) }

// record adds f to the flows on record, unless their number has reached the limit. A
// flow that is not on record does not count as load.
func (e *Engine) record(key flowKey, f *flow) {
	if len(e.flows) >= e.maxFlows {
		f.closed = true
		return
	}
	e.flows[key] = f
	f.upstream.load.flows++
}

// close removes f from the load of its upstream. Its last packets are still forwarded.
func (e *Engine) close(f *flow) {
	if !f.closed {
		e.endPending(f)
		f.closed = true
		f.upstream.load.flows--
	}
}

// forget deletes the record of a flow.
func (e *Engine) forget(key flowKey) {
	f := e.flows[key]
	if f == nil {
		return
	}
	e.close(f)
	delete(e.flows, key)
}

// sweepFlows deletes the records of flows that have ended.
func (e *Engine) sweepFlows() {
	for key, f := range e.flows {
		idle := e.now - f.lastSeen
		switch {
		case f.closed && idle > openTimeout,
			!f.opened && idle > openTimeout,
			idle > e.roster.Routing.Idle,
			e.now-f.began > retainRemoved:
			e.forget(key)
		}
	}
}
