package sparroute

import (
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
)

func (e *Engine) recordSuccess(g *group, at sparflow.Endpoint) {
	h := g.health[at]
	if h != nil && h.Answered(e.now) {
		e.emitHealth(g, at, h)
	}
}

func (e *Engine) recordFailure(g *group, at sparflow.Endpoint) {
	h := g.health[at]
	if h != nil && h.Failed(e.now) {
		e.emitHealth(g, at, h)
	}
}

func (e *Engine) emitHealth(g *group, at sparflow.Endpoint, h *sparhealth.Health) {
	e.emit(Event{Kind: "upstream-" + h.State(), Service: g.service.Name, Subject: at.String()})
}

// healthy reports whether the upstream is healthy by its flows. If most upstreams look
// unhealthy, the fault is more likely on this side, and all count as healthy.
func (e *Engine) healthy(g *group, at sparflow.Endpoint) bool {
	h := g.health[at]
	if h == nil || h.AcceptsFlows() {
		return true
	}
	failing := 0
	for _, other := range g.health {
		if !other.AcceptsFlows() {
			failing++
		}
	}
	return failing*2 > len(g.health)
}

// weight returns the relative share of new flows of an upstream, 1 unless it is warming.
func (e *Engine) weight(g *group, at sparflow.Endpoint) float64 {
	h := g.health[at]
	if h == nil {
		return 1
	}
	return h.Weight(e.now, g.service.Warm)
}

func (e *Engine) tickHealth(g *group) {
	for at, h := range g.health {
		if h.Tick(e.now, g.service.Warm) {
			e.emitHealth(g, at, h)
		}
	}
}

// updateHealth adds and removes health states to match the settings. An upstream that
// joins a service in use warms up first.
func (e *Engine) updateHealth(g *group, created bool) {
	present := map[sparflow.Endpoint]bool{}
	for _, u := range g.service.Upstreams {
		present[u.At] = true
		if g.health[u.At] != nil {
			continue
		}
		h := &sparhealth.Health{}
		if !created && g.service.Warm > 0 {
			*h = sparhealth.NewWarming(e.now)
		}
		g.health[u.At] = h
	}
	for at := range g.health {
		if !present[at] {
			delete(g.health, at)
		}
	}
}

// UpstreamState is the load and health of one upstream as seen by this VM.
type UpstreamState struct {
	Flows      int  // open flows with a record in slots owned here
	Unrecorded bool // the upstream may have flows without a record
	Healthy    bool // healthy by the flows seen here
}

// UpstreamState returns the state of an upstream of a service as seen by this VM.
func (e *Engine) UpstreamState(service string, at sparflow.Endpoint) UpstreamState {
	g := e.groups[service]
	if g == nil {
		return UpstreamState{}
	}
	u := UpstreamState{Flows: g.load.own[at], Healthy: e.healthy(g, at)}
	for n := range g.slots {
		sl := &g.slots[n]
		recorded := sl.phase == owning && sl.complete
		if !recorded && sl.phase != none && sl.phase != standby && sl.defaultUpstream == at {
			u.Unrecorded = true
		}
	}
	return u
}
