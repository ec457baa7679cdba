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
		e.applied, e.first = true, s.Revision
	}
	e.snapshot = s
	clear(e.accept)
	clear(e.answer)
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
		} else if g.service.Revision != service.Revision {
			e.update(g, service)
		}
	}
	for name, g := range e.groups {
		g.service = s.Service(name)
		e.accept[makeAddress(g.service.Proto, g.service.Address)] = g
		for _, u := range g.service.Upstreams {
			e.answer[makeAddress(g.service.Proto, u.At)] = g
		}
	}
}

// dropPending forgets what waits for a service that is no more.
func (e *Engine) dropPending(service string) {
	kept := e.pending[:0]
	for _, p := range e.pending {
		if p.group.service.Name != service {
			kept = append(kept, p)
		}
	}
	e.pending = kept
}

// create starts a service. A service younger than this engine's first settings
// has no flows from before, so its records are complete from the start.
func (e *Engine) create(service *sparconfig.Service) {
	g := &group{
		service: service, slots: make([]slot, sparflow.Slots),
		carries: map[sparflow.Endpoint]bool{}, flows: map[sparflow.Key]flow{},
		load: newLoad(), health: map[sparflow.Endpoint]*sparhealth.Health{}, held: map[sparflow.Key]bool{}, dirty: map[uint16]bool{}, ended: map[sparflow.Key]bool{},
	}
	fresh := service.Revision > e.first
	e.groups[service.Name] = g
	e.refresh(g, true)
	for n := range g.slots {
		sl := &g.slots[n]
		sl.phase = slotChart.Start()
		sl.base, sl.since = sl.first, e.now
		sl.complete = fresh
		if len(e.roles) == 0 {
			continue
		}
		if e.me >= 0 && int(e.roles[n].owner) == e.me {
			sl.phase = slotChart.Next(sl.phase, "takeover")
		} else if e.isStandby(n) {
			sl.phase = slotChart.Next(sl.phase, "standby")
		}
		sl.informed = fresh && sl.phase != none
	}
}

// update takes a changed document. Bases stay until their owners move them.
func (e *Engine) update(g *group, service *sparconfig.Service) {
	g.service = service
	e.refresh(g, false)
}

// refresh computes what follows from the document of the service.
func (e *Engine) refresh(g *group, fresh bool) {
	g.scanDue = true
	e.updateHealth(g, fresh)
	g.names = g.names[:0]
	for _, u := range g.service.Upstreams {
		g.names = append(g.names, sparrank.Name(u.At.String()))
	}
	var open []uint64
	var homes []sparflow.Endpoint
	for i, u := range g.service.Upstreams {
		if u.Opens() {
			open = append(open, g.names[i])
			homes = append(homes, u.At)
		}
	}
	shares := sparrank.Share(sparflow.Slots, open)
	for n := range g.slots {
		g.slots[n].first = 0
		if shares != nil {
			g.slots[n].first = homes[shares[n]]
		}
	}
	e.refreshCarries(g)
}

// refreshCarries computes which upstreams may carry flows now.
func (e *Engine) refreshCarries(g *group) {
	before := len(g.carries)
	kept := 0
	carries := map[sparflow.Endpoint]bool{}
	for _, u := range g.service.Upstreams {
		if u.Gone(e.wall) {
			continue
		}
		carries[u.At] = true
		if g.carries[u.At] {
			kept++
		}
	}
	g.lost = g.lost || kept < before
	g.carries = carries
	e.abandon(g)
}

// abandon moves the bases of owned slots off upstreams that carry nothing any
// more. The flows without a record were there and are lost with them.
func (e *Engine) abandon(g *group) {
	for n := range g.slots {
		sl := &g.slots[n]
		if sl.phase != owning || sl.first == 0 || g.carries[sl.base] {
			continue
		}
		sl.base, sl.complete, sl.rebasing = sl.first, true, false
		e.markDirty(g, n)
	}
}

// expireDrains ends the drains whose time is up.
func (e *Engine) expireDrains(g *group) {
	for _, u := range g.service.Upstreams {
		if !g.carries[u.At] || !u.Gone(e.wall) {
			continue
		}
		e.emit(Note{
			Kind: "drain-ended", Service: g.service.Name, Subject: u.At.String(), Count: g.load.own[u.At],
		})
		e.refreshCarries(g)
		return
	}
}
