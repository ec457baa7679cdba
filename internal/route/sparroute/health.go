package sparroute

import (
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
)

func (e *Engine) succeeded(g *group, at sparflow.Endpoint) {
	h := g.health[at]
	if h != nil && h.Answered(e.now) {
		e.noteHealth(g, at, h)
	}
}

func (e *Engine) failed(g *group, at sparflow.Endpoint) {
	h := g.health[at]
	if h != nil && h.Failed(e.now) {
		e.noteHealth(g, at, h)
	}
}

func (e *Engine) noteHealth(g *group, at sparflow.Endpoint, h *sparhealth.Health) {
	e.emit(Note{Kind: "upstream-" + h.State(), Service: g.service.Name, Subject: at.String()})
}

// healthy reports whether the flows speak against the upstream. When most
// upstreams look failing, the fault is more likely on this side: none is believed.
func (e *Engine) healthy(g *group, at sparflow.Endpoint) bool {
	h := g.health[at]
	if h == nil || h.Opens() {
		return true
	}
	failing := 0
	for _, other := range g.health {
		if !other.Opens() {
			failing++
		}
	}
	return failing*2 > len(g.health)
}

// weight returns the share of an upstream, 1 unless it is warming.
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
			e.noteHealth(g, at, h)
		}
	}
}

// updateHealth follows the upstreams of the settings. One that joins a service in
// use warms up first.
func (e *Engine) updateHealth(g *group, fresh bool) {
	present := map[sparflow.Endpoint]bool{}
	for _, u := range g.service.Upstreams {
		present[u.At] = true
		if g.health[u.At] != nil {
			continue
		}
		h := &sparhealth.Health{}
		if !fresh && g.service.Warm > 0 {
			*h = sparhealth.Joined(e.now)
		}
		g.health[u.At] = h
	}
	for at := range g.health {
		if !present[at] {
			delete(g.health, at)
		}
	}
}

// Use is what this VM knows about the use of one upstream.
type Use struct {
	Flows      int  // open flows with a record in slots owned here
	Unrecorded bool // flows without a record may be there
	Healthy    bool // the flows seen here do not speak against it
}

// Use returns what this VM knows about an upstream of a service.
func (e *Engine) Use(service string, at sparflow.Endpoint) Use {
	g := e.groups[service]
	if g == nil {
		return Use{}
	}
	u := Use{Flows: g.load.own[at], Healthy: e.healthy(g, at)}
	for n := range g.slots {
		sl := &g.slots[n]
		decided := sl.phase == owning && sl.complete
		if !decided && sl.phase != none && sl.phase != standby && sl.base == at {
			u.Unrecorded = true
		}
	}
	return u
}
