package sparcookie

// hedgeUtilization is the utilization of the slots of a service, or of an upstream, from which
// nothing more is sent there than clients ask for. It is below spillThreshold.
const hedgeUtilization = 0.6

// secondUpstream returns the best upstream for the hedge of an opening at first, or nil if none is
// fit. It is in another failure domain if that of first is failing or full.
func (e *Engine) secondUpstream(p *pool, key flowKey, first *upstream) (best *upstream) {
	e.assess(p)
	full := e.domainFull(p.local, e.serviceTime(first.Service))
	failing := e.domainFailing(p, first.Domain)
	bestTier, bestScore := tierNone, 0.0
	for _, u := range p.all {
		if u == first || !e.fitForHedge(u) || failing && u.Domain == first.Domain || full && u.Domain == e.domain {
			continue
		}
		t, score := e.tierOf(u), e.score(u, key)
		if t < bestTier || t == bestTier && score < bestScore {
			best, bestTier, bestScore = u, t, score
		}
	}
	return best
}

// fitForHedge reports whether an opening may go to u as well: u is healthy, has no SYN without an
// answer for long, does not warm up and has free slots.
func (e *Engine) fitForHedge(u *upstream) bool {
	e.ejectMissedSYN(u)
	return e.tierOf(u) < tierUnhealthy && !u.health.Probing() && e.now >= u.warmUntil && !e.nearlyFull(u)
}

// nearlyFull reports whether u may be short of slots. It assumes that the other VMs of this failure
// domain forward as many requests to u as this one.
func (e *Engine) nearlyFull(u *upstream) bool {
	busy := busySlots(u.load.rate.value(e.now, rateSpan), e.serviceTime(u.Service), e.domainVMs)
	return busy >= hedgeUtilization*float64(u.Slots) || u.load.abandoned.value(e.now, abandonedSpan) >= 1
}

// shortOfSlots reports whether the upstreams of a service are nearly full. It assumes that all other
// VMs forward as many requests as this one.
func (e *Engine) shortOfSlots(service string) bool {
	p := e.pools[service]
	if p == nil {
		return true
	}
	requests, slots := 0.0, 0
	for _, u := range p.all {
		if e.takesFlows(u) && u.health.AcceptsFlows() {
			requests += u.load.rate.value(e.now, rateSpan)
			slots += u.Slots
		}
	}
	busy := busySlots(requests, e.serviceTime(service), len(e.relays)+1)
	return slots > 0 && busy >= hedgeUtilization*float64(slots)
}

// domainFailing reports whether at least two upstreams of a failure domain, and half of those that
// take flows, are ejected or have lost a race since their last response. A domain fails in this sense
// before it is suspect.
func (e *Engine) domainFailing(p *pool, domain string) bool {
	failing, all := 0, 0
	for _, u := range p.all {
		if u.Domain != domain || !e.takesFlows(u) {
			continue
		}
		all++
		if !u.health.AcceptsFlows() || u.races.at > u.lastResponse {
			failing++
		}
	}
	return failing >= 2 && 2*failing >= all
}
