package sparroute

import (
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// Apply puts settings in force.
func (e *Engine) Apply(s sparconfig.Snapshot) {
	if !e.applied {
		e.applied, e.first = true, s.At
	}
	e.snapshot = s
	clear(e.byService)
	clear(e.byUpstream)
	for name := range e.groups {
		if s.Service(name) == nil {
			delete(e.groups, name)
			e.dropPending(name)
		}
	}
	for name, service := range s.Services() {
		g := e.groups[name]
		if g == nil {
			e.create(service)
		} else if g.service.At != service.At || !g.service.SameEvacuations(service) {
			e.update(g, service)
		}
	}
	for name, g := range e.groups {
		g.service = s.Service(name)
		e.byService[makeAddress(g.service.Proto, g.service.Address)] = g
		for _, u := range g.service.Upstreams {
			e.byUpstream[makeAddress(g.service.Proto, u.At)] = g
		}
	}
}

// dropPending cancels the pending changes of a service that has been removed.
func (e *Engine) dropPending(service string) {
	kept := e.pending[:0]
	for _, p := range e.pending {
		if p.group.service.Name != service {
			kept = append(kept, p)
		}
	}
	e.pending = kept
}

// create adds a service. One that is newer than the first settings of this engine has no
// older flows, so its records are complete from the start.
func (e *Engine) create(service *sparconfig.Service) {
	g := &group{
		service: service, slots: make([]slot, sparflow.Slots),
		carries: map[sparflow.Endpoint]bool{}, flows: map[sparflow.Key]flow{},
		load: newLoad(), health: map[sparflow.Endpoint]*sparhealth.Health{}, held: map[sparflow.Key]bool{}, dirty: map[uint16]bool{}, ended: map[sparflow.Key]bool{},
	}
	fresh := service.At.Compare(e.first) > 0
	e.groups[service.Name] = g
	e.refresh(g, true)
	for n := range g.slots {
		sl := &g.slots[n]
		sl.phase = slotChart.Start()
		sl.defaultUpstream, sl.since = sl.preferred, e.now
		sl.complete = fresh
		if len(e.roles) == 0 {
			continue
		}
		if e.me >= 0 && int(e.roles[n].owner) == e.me {
			sl.phase = slotChart.Next(sl.phase, "takeover")
		} else if e.isStandby(n) {
			sl.phase = slotChart.Next(sl.phase, "standby")
		}
		sl.overridesKnown = fresh && sl.phase != none
	}
}

// update applies a changed document. Default upstreams stay until the owners of their
// slots change them.
func (e *Engine) update(g *group, service *sparconfig.Service) {
	g.service = service
	e.refresh(g, false)
}

// refresh recomputes the state that depends on the document of the service.
func (e *Engine) refresh(g *group, created bool) {
	g.scanDue = true
	e.updateHealth(g, created)
	g.ranks = g.ranks[:0]
	for _, u := range g.service.Upstreams {
		g.ranks = append(g.ranks, sparrank.Hash(u.At.String()))
	}
	var openRanks []uint64
	var open []sparflow.Endpoint
	for i, u := range g.service.Upstreams {
		if u.AcceptsFlows() {
			openRanks = append(openRanks, g.ranks[i])
			open = append(open, u.At)
		}
	}
	assigned := sparrank.Assign(sparflow.Slots, openRanks)
	for n := range g.slots {
		g.slots[n].preferred = 0
		if assigned != nil {
			g.slots[n].preferred = open[assigned[n]]
		}
	}
	e.refreshCarries(g)
}

// refreshCarries recomputes which upstreams may carry flows.
func (e *Engine) refreshCarries(g *group) {
	before := len(g.carries)
	kept := 0
	carries := map[sparflow.Endpoint]bool{}
	for _, u := range g.service.Upstreams {
		if u.DrainEnded(e.wall) {
			continue
		}
		carries[u.At] = true
		if g.carries[u.At] {
			kept++
		}
	}
	g.anyRemoved = g.anyRemoved || kept < before
	g.carries = carries
	e.replaceRemovedDefaults(g)
}

// replaceRemovedDefaults replaces default upstreams of owned slots that may no longer carry
// flows. Flows without a record were at these upstreams and are lost with them.
func (e *Engine) replaceRemovedDefaults(g *group) {
	for n := range g.slots {
		sl := &g.slots[n]
		if sl.phase != owning || sl.preferred == 0 || g.carries[sl.defaultUpstream] {
			continue
		}
		sl.defaultUpstream, sl.complete, sl.changingDefault = sl.preferred, true, false
		e.markDirty(g, n)
	}
}

// expireDrains ends the drains that have reached their deadline.
func (e *Engine) expireDrains(g *group) {
	for _, u := range g.service.Upstreams {
		if !g.carries[u.At] || !u.DrainEnded(e.wall) {
			continue
		}
		e.emit(Event{
			Kind: "drain-ended", Service: g.service.Name, Subject: u.At.String(), Count: g.load.own[u.At],
		})
		e.refreshCarries(g)
		return
	}
}
