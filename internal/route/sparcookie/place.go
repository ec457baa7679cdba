package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

const (
	// probeInterval is the least time between two SYNs that probe an upstream.
	probeInterval = 300 * time.Millisecond
	// warmingShare is the part of its capacity that an upstream has while it warms up.
	warmingShare = 0.5
	// spillThreshold is the utilization of the slots of a failure domain from which
	// new flows may go to other domains. Beyond it requests begin to queue.
	spillThreshold = 0.75
	// abandonedWeight is the load that an abandoned request counts for, in open flows: the
	// length of an upstream's queue, since nothing shows whether the queue has room.
	abandonedWeight = 8
)

// tier is the preference of an upstream for new flows; lower is better.
type tier int

const (
	tierLocal     tier = iota // healthy, in the failure domain of this VM
	tierRemote                // healthy, in another failure domain
	tierUnhealthy             // ejected, or probed within probeInterval
	tierNone                  // takes no new flows
)

// choose returns the best upstream for a SYN apart from exclude, or nil if none takes it.
// It tries the service drawn by weight first, then the others with a weight.
func (e *Engine) choose(rec *routeRecord, key flowKey, exclude *upstream) *upstream {
	service := e.pickService(rec, key)
	if u := e.best(service, key, exclude); u != nil {
		return u
	}
	for _, t := range rec.route.Targets {
		if t.Weight == 0 || t.Service == service {
			continue
		}
		if u := e.best(t.Service, key, exclude); u != nil {
			return u
		}
	}
	return nil
}

// pickService draws a service by weight. It is the same for all retransmissions of a SYN.
func (e *Engine) pickService(rec *routeRecord, key flowKey) string {
	total := 0
	for _, t := range rec.route.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	draw := int(sparrank.Weight(0, uint64(key.client)) % uint64(total))
	for _, t := range rec.route.Targets {
		draw -= t.Weight
		if draw < 0 {
			return t.Service
		}
	}
	return ""
}

// best returns the least loaded upstream of the best tier of a service. It considers other
// failure domains only if the upstreams of this one are full or not healthy.
func (e *Engine) best(service string, key flowKey, exclude *upstream) *upstream {
	p := e.pools[service]
	if p == nil {
		return nil
	}
	e.assess(p)
	full := e.domainFull(p.local, e.serviceTime(service)) || e.queueing(service)
	if !full {
		if u := e.probeOwn(p, exclude); u != nil {
			return e.markPlaced(u)
		}
		if u, t := e.bestOf(p.local, key, exclude, false); t == tierLocal {
			return e.markPlaced(u)
		}
	}
	if u := e.probeOther(p, exclude); u != nil {
		return e.markPlaced(u)
	}
	u, _ := e.bestOf(p.all, key, exclude, full)
	return e.markPlaced(u)
}

// assess prepares tierOf for the upstreams of a service.
func (e *Engine) assess(p *pool) {
	e.checkOpenings()
	e.distrust = !p.allSuspect()
}

// markPlaced records that a SYN goes to u, which may be nil.
func (e *Engine) markPlaced(u *upstream) *upstream {
	if u != nil {
		e.noteOpening(u)
	}
	return u
}

// bestOf returns the least loaded upstream of the best tier, and that tier. full means that
// this failure domain is full: then upstreams of the others have the tier of local ones.
func (e *Engine) bestOf(upstreams []*upstream, key flowKey, exclude *upstream, full bool) (best *upstream, bestTier tier) {
	var bestScore float64
	var bestTurn time.Duration
	bestTier = tierNone
	for _, u := range upstreams {
		e.ejectMissedSYN(u)
		t := e.tierOf(u)
		if u == exclude || t == tierNone {
			continue
		}
		if t == tierRemote && full {
			t = tierLocal
		}
		score, turn := e.score(u, key), time.Duration(0)
		if t == tierUnhealthy {
			turn = u.syn.lastAt // their load is that of the flows that they had before
		}
		if t < bestTier || t == bestTier && (turn < bestTurn || turn == bestTurn && score < bestScore) {
			best, bestScore, bestTurn, bestTier = u, score, turn, t
		}
	}
	return best, bestTier
}

// takesFlows reports whether the settings let u take new flows.
func (e *Engine) takesFlows(u *upstream) bool {
	return !u.Draining && !u.removed && !u.unusable && !u.evacuated
}

// tierOf returns the tier of u, whose pool was assessed last.
func (e *Engine) tierOf(u *upstream) tier {
	switch {
	case !e.takesFlows(u), e.outOfQuota(u), e.gone(u):
		return tierNone
	case !u.health.AcceptsFlows(), e.leftToHolders(u), e.avoided(u), u.health.Probing() && e.now-u.syn.lastAt < probeInterval:
		return tierUnhealthy
	case e.distrust && u.unproven(), u.evidence.weight == 0:
		return tierUnhealthy
	case u.Domain == e.domain && (u.domain.preferable() || !e.distrust):
		return tierLocal
	}
	return tierRemote
}

// domainFull reports whether the utilization of the healthy upstreams of this domain has
// reached spillThreshold, if a request occupies a slot for serviceTime. It assumes that the other
// VMs of the domain forward as many requests as this one.
func (e *Engine) domainFull(local []*upstream, serviceTime time.Duration) bool {
	requests, slots := 0.0, 0.0
	for _, u := range local {
		if e.tierOf(u) == tierLocal {
			requests += u.load.rate.value(e.now, rateSpan)
			slots += float64(u.Slots) * u.evidence.weight
		}
	}
	return busySlots(requests, serviceTime, e.domainVMs) >= spillThreshold*slots
}

// busySlots returns the slots at work if each of the VMs forwards as many requests, which is a
// count over rateSpan.
func busySlots(requests float64, serviceTime time.Duration, vms int) float64 {
	return requests * float64(serviceTime) / float64(rateSpan) * float64(max(vms, 1))
}

// score returns the load of u per slot. A fraction below 1 that depends on the flow breaks
// ties, so that VMs spread their flows over equally loaded upstreams.
func (e *Engine) score(u *upstream, key flowKey) float64 {
	load := float64(u.load.flows) + 2*u.load.recent.value(e.now, recentSpan) + abandonedWeight*u.load.abandoned.value(e.now, abandonedSpan)
	load += float64(sparrank.Weight(int(uint32(key.client)), u.ID)>>40) / (1 << 24)
	capacity := float64(u.Slots) * max(u.evidence.weight, sparevidence.Trickle)
	if e.now < u.warmUntil {
		capacity *= e.warmingCapacity(u)
	}
	if e.now < u.slowStartUntil {
		capacity *= slowStartShare
	}
	return load / capacity
}
