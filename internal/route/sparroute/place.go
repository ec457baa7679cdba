package sparroute

import (
	"math"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// retryAfter is the age in seconds of an unanswered SYN from which its retransmission
	// counts as a failure of its upstream and may go to another one.
	retryAfter = 2
)

// open decides on a SYN, or the first packet of a UDP flow, at the owner of its slot.
func (e *Engine) open(g *group, sl *slot, key sparflow.Key, f flow, known bool) Verdict {
	if known {
		switch f.state {
		case flowHeld:
			return e.openHeld(g, key, f)
		case flowOpening:
			return e.openRetransmitted(g, sl, key, f)
		default:
			e.forget(g, key)
			if e.acceptsFlows(g, f.upstream) {
				e.stats.Openings++
				return e.commit(g, sl, key, f.upstream, 0)
			}
		}
	}
	return e.place(g, sl, key, 0)
}

// openHeld forwards the first packet of a flow once the standbys have its record.
func (e *Engine) openHeld(g *group, key sparflow.Key, f flow) Verdict {
	for _, p := range e.pending {
		if p.group == g && p.key == key {
			return e.hold(g, key)
		}
	}
	return e.forwardFirst(g, key, f)
}

// openRetransmitted decides on a retransmitted SYN. The response to the first one may be
// on its way, so it goes to the same upstream until that has had time to respond.
func (e *Engine) openRetransmitted(g *group, sl *slot, key sparflow.Key, f flow) Verdict {
	if e.seconds()-f.changed < retryAfter {
		return e.toUpstream(g, key, f.upstream)
	}
	e.recordFailure(g, f.upstream)
	if e.acceptsFlows(g, f.upstream) && e.healthy(g, f.upstream) {
		return e.toUpstream(g, key, f.upstream)
	}
	e.stats.Retries++
	e.forget(g, key)
	return e.place(g, sl, key, f.upstream)
}

// forwardFirst forwards the first packet of a flow to the upstream of its record.
func (e *Engine) forwardFirst(g *group, key sparflow.Key, f flow) Verdict {
	f.state, f.changed = flowOpening, e.seconds()
	f.flags &^= flagClientFIN | flagUpstreamFIN
	if e.viewIncomplete {
		f.flags |= flagUnverified
	}
	if g.service.Proto == sparflow.UDP {
		f.state = flowOpen
	}
	e.record(g, key, f)
	return Verdict{Action: ToUpstream, At: f.upstream, Key: key}
}

// place chooses the upstream of a new flow and opens it there. avoid is an upstream not
// to choose, or 0.
func (e *Engine) place(g *group, sl *slot, key sparflow.Key, avoid sparflow.Endpoint) Verdict {
	e.stats.Openings++
	upstream := e.choose(g, sl, key, avoid)
	if upstream == 0 {
		return e.refuse(NoUpstream)
	}
	return e.commit(g, sl, key, upstream, avoid)
}

// commit opens a flow at an upstream. An override is first sent to the standbys. While the
// view is not settled, the flow goes to the default upstream instead, or its packet is
// dropped.
func (e *Engine) commit(g *group, sl *slot, key sparflow.Key, upstream, avoid sparflow.Endpoint) Verdict {
	f := flow{upstream: upstream, changed: e.seconds()}
	if upstream == sl.defaultUpstream {
		return e.forwardFirst(g, key, f)
	}
	if !e.view.Settled {
		if sl.defaultUpstream != avoid && e.acceptsFlows(g, sl.defaultUpstream) {
			f.upstream = sl.defaultUpstream
			return e.forwardFirst(g, key, f)
		}
		return e.drop(NotSettled)
	}
	e.stats.Overrides++
	f.flags |= flagReplicated
	delete(g.ended, key)
	acks := e.sendToStandbys(key.Slot(), Sync{
		Service: g.service.Name,
		Flows:   []Flows{{Upstream: upstream, Keys: []sparflow.Key{key}}},
	})
	if len(acks) == 0 {
		return e.forwardFirst(g, key, f)
	}
	f.state = flowHeld
	e.record(g, key, f)
	e.pending = append(e.pending, pending{group: g, key: key, upstream: upstream, acks: acks})
	return e.hold(g, key)
}

// choose returns the best upstream for a new flow, or 0 if none takes new flows. This is
// the preferred upstream of the slot, unless it is unhealthy or above its bound, and then
// the next one in rendezvous order for the key. If none is usable, it is the least loaded.
func (e *Engine) choose(g *group, sl *slot, key sparflow.Key, avoid sparflow.Endpoint) sparflow.Endpoint {
	bound := e.bounds(g)
	if sl.preferred != avoid && e.usable(g, sl.preferred, bound) {
		return sl.preferred
	}
	pick := sparrank.Best(placement(key), g.ranks, func(i int) bool {
		at := g.service.Upstreams[i].At
		return at != avoid && e.usable(g, at, bound)
	})
	if pick >= 0 {
		return g.service.Upstreams[pick].At
	}
	return e.leastLoaded(g)
}

// usable reports whether a new flow may go to the upstream at.
func (e *Engine) usable(g *group, at sparflow.Endpoint, b bound) bool {
	if !e.acceptsFlows(g, at) || !e.healthy(g, at) {
		return false
	}
	return float64(g.load.estimate(at)+1) <= b.limit(e.weight(g, at))
}

// leastLoaded returns the least loaded upstream that takes new flows, or 0. Healthy ones
// take precedence.
func (e *Engine) leastLoaded(g *group) sparflow.Endpoint {
	var best sparflow.Endpoint
	least := math.MaxInt
	for _, healthyOnly := range []bool{true, false} {
		for _, u := range g.service.Upstreams {
			if !e.acceptsFlows(g, u.At) || healthyOnly && !e.healthy(g, u.At) {
				continue
			}
			if n := g.load.estimate(u.At); n < least {
				best, least = u.At, n
			}
		}
		if best != 0 {
			return best
		}
	}
	return 0
}

// acceptsFlows reports whether the settings let an upstream take new flows.
func (e *Engine) acceptsFlows(g *group, at sparflow.Endpoint) bool {
	u, ok := g.service.Upstream(at)
	return ok && u.AcceptsFlows()
}

// bound is the number of flows per unit of weight that an upstream may have.
type bound float64

func (b bound) limit(weight float64) float64 {
	return math.Max(1, math.Ceil(float64(b)*weight))
}

func (e *Engine) bounds(g *group) bound {
	total, weight := 1, 0.0
	for _, u := range g.service.Upstreams {
		if !u.AcceptsFlows() {
			continue
		}
		total += g.load.estimate(u.At)
		weight += e.weight(g, u.At)
	}
	if weight == 0 {
		return 0
	}
	return bound(float64(total) / weight * (1 + g.service.Spread))
}
