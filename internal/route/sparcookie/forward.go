package sparcookie

import (
	"time"
)

const (
	// minRetransmitAge is the least age of a SYN or request at which its retransmission
	// counts against its upstream. Clients send the first retransmission after 200 ms.
	minRetransmitAge = 150 * time.Millisecond
	// openTimeout is how long a client waits for its flow to open.
	openTimeout = 1500 * time.Millisecond
	// synAckTimeout is the age at which an unanswered SYN counts against its upstream:
	// a quarter of the time after which clients retransmit it.
	synAckTimeout = 50 * time.Millisecond
	// relaysBeforeReset is the number of other VMs that must have sent a request without
	// a response before a flow of a removed upstream is reset.
	relaysBeforeReset = 2
)

// Forward returns the verdict on a packet from a client.
func (e *Engine) Forward(s Segment) Verdict {
	if s.Relayed {
		return e.forwardRelayed(s)
	}
	rec := e.routes[s.To]
	if s.Kind == SYN {
		return e.forwardSYN(rec, s)
	}
	if rec == nil && e.roster.At.IsZero() {
		return e.drop(NotFresh)
	}
	if rec == nil {
		return e.drop(NoRoute)
	}
	return e.forwardInFlow(rec, s)
}

// forwardSYN returns the verdict on a SYN. One that may have waited here while its client opened the flow
// through another VM gets no answer, neither of an upstream nor of this VM: a client that still waits
// sends it again.
func (e *Engine) forwardSYN(rec *routeRecord, s Segment) Verdict {
	if e.now < e.staleUntil {
		return e.drop(Stale)
	}
	if rec == nil || !rec.live {
		if !e.fresh {
			return e.drop(NotFresh)
		}
		return e.reset(NoRoute, nil)
	}
	key := keyOf(s)
	f := e.flows[key]
	if f != nil && !f.opened && e.now-f.began < openTimeout {
		return e.forwardRetransmittedSYN(rec, key, f)
	}
	if !e.admits(rec, key, s) {
		return e.reset(Overloaded, nil)
	}
	u := e.choose(rec, key, nil)
	if u == nil {
		e.noteRefused(rec)
		return e.refuseSYN(rec)
	}
	e.recordSYN(key, u, e.now)
	return e.queueOpening(rec, key, s, e.send(Placed, u))
}

// recordSYN records a SYN sent to u. began is the time of the first SYN of the flow.
func (e *Engine) recordSYN(key flowKey, u *upstream, began time.Duration) {
	e.forget(key)
	f := &flow{upstream: u, began: began, placedAt: e.now, lastProgress: e.now, lastSeen: e.now}
	e.record(key, f)
	e.chargeOpening(f)
	if u.syn.unansweredSince == 0 {
		u.syn.unansweredSince = e.now
	}
}

// forwardRetransmittedSYN returns the verdict on a retransmitted SYN that has had no
// response. If its upstream has answered other clients meanwhile, a packet was lost and
// the SYN goes to the same upstream, if the settings in force allow that by now. Otherwise it goes to
// another one, if there is one. The flow opens at the first upstream whose SYN-ACK the client acknowledges.
func (e *Engine) forwardRetransmittedSYN(rec *routeRecord, key flowKey, f *flow) Verdict {
	u := f.upstream
	f.lastSeen = e.now
	e.noteCopy(f)
	if !e.mayOpen(rec, u) || e.outOfQuota(u) {
		return e.moveSYN(rec, key, f)
	}
	if e.now-f.lastProgress < minRetransmitAge || u.lastResponse > f.lastProgress {
		return e.repeatSYN(f)
	}
	e.noteUnanswered(u, f)
	return e.moveSYN(rec, key, f)
}

// mayOpen reports whether new flows of a route may go to u: the route has its service, the settings let it
// take new flows, and it is not gone.
func (e *Engine) mayOpen(rec *routeRecord, u *upstream) bool {
	return rec.route.Takes(u.Service) && e.takesFlows(u) && !e.gone(u)
}

// moveSYN sends a retransmitted SYN to another upstream than that of its record. If no other one
// takes it, it goes to the same one, unless that may have no new flows of the route any more.
func (e *Engine) moveSYN(rec *routeRecord, key flowKey, f *flow) Verdict {
	u := f.upstream
	other := e.choose(rec, key, u)
	if other == nil && !e.mayOpen(rec, u) {
		e.forget(key)
		return e.reset(NoUpstream, nil)
	}
	if other == nil && e.outOfQuota(u) {
		return e.dropWarmSYN()
	}
	if other == nil {
		return e.repeatSYN(f)
	}
	e.recordSYN(key, other, f.began)
	v := e.send(Moved, other)
	v.Silent, v.Waited = e.now-u.lastResponse, e.now-f.began
	return v
}

// forwardInFlow returns the verdict on a packet of an open flow.
func (e *Engine) forwardInFlow(rec *routeRecord, s Segment) Verdict {
	key := keyOf(s)
	f := e.flows[key]
	u := e.cookies[s.Cookie]
	if u == nil && f != nil {
		u = f.upstream
	}
	if u == nil {
		return e.drop(UnknownCookie)
	}
	if !e.mayServe(rec, u) {
		return e.drop(WrongService)
	}
	u = e.settleRace(f, u, s)
	if f == nil || f.upstream != u {
		f = e.adoptFlow(key, u, s)
	}
	if !rec.live {
		return e.forwardUnrouted(key, u)
	}
	if e.resetsData(u, f, &s) {
		e.forget(key)
		e.stats.GoneResets++
		return e.reset(UpstreamGone, u)
	}
	obs := e.observe(f, &s)
	e.noteWaited(rec, f, s, obs)
	if s.Kind == FIN || s.Kind == RST {
		e.observeEnd(f, &obs)
	}
	if obs.retransmitted && !e.elsewhere(&s) && e.mayReset(u, f) {
		e.forget(key)
		return e.reset(UpstreamGone, u)
	}
	return e.sendInFlow(f, &s, &obs)
}

// adoptFlow replaces the record of an open flow whose packet s shows that it is at u.
func (e *Engine) adoptFlow(key flowKey, u *upstream, s Segment) *flow {
	e.forget(key)
	f := &flow{upstream: u, opened: true, began: e.now, lastProgress: e.now, lastSeen: e.now, ack: s.Ack, nextSeq: s.Seq}
	e.record(key, f)
	return f
}

// sendInFlow sends a packet of f to its upstream, also through other VMs if that may be needed.
func (e *Engine) sendInFlow(f *flow, s *Segment, obs *observation) Verdict {
	cause := Carried
	via, second := e.pickRelays(f, s, obs)
	if via != 0 {
		cause = Assisted
	}
	v := e.send(cause, f.upstream)
	v.Relay, v.Second = via, second
	v.Answered, v.First, v.Unanswered, v.Abandoned, v.Waited = obs.answered, obs.first, obs.retransmitted, obs.abandoned, obs.waited
	return v
}

// mayReset reports whether a flow with an unanswered retransmission may be reset: its upstream answers no
// client of this VM, and it was replaced, or removed in one of three ways. One that drained before its removal
// has stopped as planned. One that had crashed has crashed for other VMs too. The entry of any other may have
// expired while it runs, so relaysBeforeReset other VMs are tried first.
func (e *Engine) mayReset(u *upstream, f *flow) bool {
	if e.now-max(f.lastProgress, u.lastResponse) < minRetransmitAge {
		return false
	}
	return u.replaced() || u.removed && (u.Draining || e.crashed(u) || f.relayCopies >= relaysBeforeReset)
}

// crashed reports whether the VMs of its own failure domain, this one among them, had ejected u when
// its entry was removed, and it has answered none of the clients of this VM since.
func (e *Engine) crashed(u *upstream) bool {
	return u.evidence.weight == 0 && u.lastResponse < u.evidence.ejectedAt && u.Domain == e.domain
}

// mayServe reports whether u may have flows of the route. Before this VM first saw the
// route, the route may have named other services. Their flows stay at their upstreams for
// up to MaxFlowAge, and until then mayServe allows every upstream. This is safe, since an
// upstream takes no data of a flow that it has not accepted.
func (e *Engine) mayServe(rec *routeRecord, u *upstream) bool {
	return rec.services[u.Service] || e.now-rec.since < MaxFlowAge
}

// forwardUnrouted returns the verdict on a packet whose route was removed. It resets the
// flow, unless the settings are too old to refuse flows.
func (e *Engine) forwardUnrouted(key flowKey, u *upstream) Verdict {
	if !e.fresh {
		return e.send(Carried, u)
	}
	e.forget(key)
	return e.reset(RouteDropped, u)
}
