package sparroute

import (
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

// identity is one incarnation of a VM.
type identity struct {
	name        string
	incarnation uint64
}

// SetView sets the view of the members. Slots that move to another owner are handed
// over. Slots that move here wait for their former owner, if it is still alive.
func (e *Engine) SetView(view sparmember.View) {
	if view.Digest == e.view.Digest && len(e.roles) > 0 {
		e.view = view
		return
	}
	oldView, oldRoles := e.view, e.roles
	e.view = view
	e.me = view.Index(e.self)
	e.roles = assignRoles(view)
	e.pruneReports()
	for _, name := range sorted(e.groups) {
		e.reassign(e.groups[name], oldView, oldRoles)
	}
	e.cancelPending()
	e.emit(Event{Kind: "view", Count: len(view.Members)})
}

// assignRoles gives each slot an owner and two standbys. The first standby is the VM that
// owns the slot if the owner fails. The three span two failure domains, if the view has
// so many, so that the loss of one domain leaves one of them.
func assignRoles(view sparmember.View) []role {
	ranks := make([]uint64, len(view.Members))
	for i, m := range view.Members {
		ranks[i] = m.Rank
	}
	roles := make([]role, sparflow.Slots)
	for n := range roles {
		roles[n] = assignRole(n, view, ranks)
	}
	return roles
}

func assignRole(n int, view sparmember.View, ranks []uint64) role {
	owner := sparrank.Best(n, ranks, func(int) bool { return true })
	if owner < 0 {
		return role{owner: -1, standbys: [2]int16{-1, -1}}
	}
	domain := view.Members[owner].VM.Domain
	first := sparrank.Best(n, ranks, func(i int) bool { return i != owner })
	second := -1
	if first >= 0 && view.Members[first].VM.Domain == domain {
		second = sparrank.Best(n, ranks, func(i int) bool { return view.Members[i].VM.Domain != domain })
	}
	if second < 0 {
		second = sparrank.Best(n, ranks, func(i int) bool { return i != owner && i != first })
	}
	return role{owner: int16(owner), standbys: [2]int16{int16(first), int16(second)}}
}

func (e *Engine) isStandby(n int) bool {
	s := e.roles[n].standbys
	return e.me >= 0 && (int(s[0]) == e.me || int(s[1]) == e.me)
}

// reassign applies the roles of the new view to the slots of one service.
func (e *Engine) reassign(g *group, oldView sparmember.View, oldRoles []role) {
	g.scanDue = true
	leaving := map[string][]uint16{}
	for n := range g.slots {
		sl := &g.slots[n]
		mine := e.me >= 0 && int(e.roles[n].owner) == e.me
		switch {
		case mine && sl.phase == owning:
			if standbysChanged(oldView, oldRoles, e.view, e.roles, n) || sl.changingDefault {
				e.markDirty(g, n)
			}
		case mine && sl.phase == awaiting:
		case mine:
			e.acquire(g, n, e.formerOwner(n, oldView, oldRoles))
		default:
			owner, ok := e.ownerName(n)
			if ok && (sl.phase == owning || sl.resumed || sl.handed && owner != sl.from) {
				leaving[owner] = append(leaving[owner], uint16(n))
				sl.handed, sl.resumed = false, false
			}
			e.followView(g, n)
		}
	}
	for _, peer := range sorted(leaving) {
		e.handOver(g, peer, leaving[peer])
	}
	g.recount()
	e.releaseNotOwned(g)
}

// followView sets the phase of slot n, which the view does not assign to this VM. In an
// empty view no other VM owns the slot either, so an owner keeps it.
func (e *Engine) followView(g *group, n int) {
	if e.roles[n].owner < 0 {
		return
	}
	event := sparchart.Event("release")
	if e.isStandby(n) {
		event = "standby"
	}
	e.transition(g, n, event)
}

// acquire makes this VM the owner of slot n, or has it wait for the former owner.
func (e *Engine) acquire(g *group, n int, former identity) {
	sl := &g.slots[n]
	switch {
	case sl.handed:
		e.takeOver(g, n)
	case former.name != e.self && e.alive(former):
		e.transition(g, n, "await")
		sl.from = former.name
	default:
		sl.complete = false
		e.takeOver(g, n)
	}
}

// takeOver makes this VM the owner of slot n with the records that it has.
func (e *Engine) takeOver(g *group, n int) {
	sl := &g.slots[n]
	e.transition(g, n, "takeover")
	sl.handed, sl.resumed, sl.changingDefault, sl.from = false, false, false, ""
	if sl.preferred != 0 && !g.carries[sl.defaultUpstream] {
		sl.defaultUpstream, sl.complete, sl.overridesKnown = sl.preferred, true, true
	}
	e.markDirty(g, n)
}

func (e *Engine) transition(g *group, n int, event sparchart.Event) {
	sl := &g.slots[n]
	next := slotChart.Next(sl.phase, event)
	if next != sl.phase {
		sl.phase, sl.since = next, e.now
	}
	if next != owning {
		sl.changingDefault = false
	}
	if next == none {
		sl.overridesKnown = false
	}
}

// formerOwner returns the owner of slot n in the last view. If that had none, it returns
// the VM that would own the slot if this VM were not a member.
func (e *Engine) formerOwner(n int, oldView sparmember.View, oldRoles []role) identity {
	if len(oldRoles) > 0 && oldRoles[n].owner >= 0 {
		return identify(oldView.Members[oldRoles[n].owner])
	}
	ranks := make([]uint64, len(e.view.Members))
	for i, m := range e.view.Members {
		ranks[i] = m.Rank
	}
	if i := sparrank.Best(n, ranks, func(i int) bool { return i != e.me }); i >= 0 {
		return identify(e.view.Members[i])
	}
	return identity{}
}

func identify(m sparmember.Member) identity {
	return identity{name: m.VM.Name, incarnation: m.Incarnation}
}

// alive reports whether this incarnation of a VM can still hand over.
func (e *Engine) alive(id identity) bool {
	return e.inView(func(m sparmember.Member) bool { return identify(m) == id })
}

// present reports whether the VM called name can still hand over.
func (e *Engine) present(name string) bool {
	return e.inView(func(m sparmember.Member) bool { return m.VM.Name == name })
}

// inView reports whether a member or a leaving VM of the view matches.
func (e *Engine) inView(match func(m sparmember.Member) bool) bool {
	return slices.ContainsFunc(e.view.Members, match) || slices.ContainsFunc(e.view.Leaving, match)
}

func standbysChanged(oldView sparmember.View, oldRoles []role, view sparmember.View, roles []role, n int) bool {
	if len(oldRoles) == 0 {
		return true
	}
	for i, now := range roles[n].standbys {
		before := oldRoles[n].standbys[i]
		switch {
		case now < 0:
		case before < 0:
			return true
		case identify(view.Members[now]) != identify(oldView.Members[before]):
			return true
		}
	}
	return false
}

// cancelPending cancels changes that were pending in the last view. Changes of default
// upstreams are started again later. New flows of slots that have moved go to the new owner.
func (e *Engine) cancelPending() {
	kept := e.pending[:0]
	for _, p := range e.pending {
		if p.key == 0 {
			for _, n := range p.slots {
				p.group.slots[n].changingDefault = false
			}
			continue
		}
		if p.group.slots[p.key.Slot()].phase != owning {
			delete(p.group.flows, p.key)
			continue
		}
		kept = append(kept, p)
	}
	e.pending = kept
}

// releaseNotOwned releases the held packets of slots that are no longer owned or awaited
// here.
func (e *Engine) releaseNotOwned(g *group) {
	for _, key := range sorted(g.held) {
		if phase := g.slots[key.Slot()].phase; phase != owning && phase != awaiting {
			e.release(g, key)
		}
	}
}

// pruneReports deletes the loads of VMs that are no longer members.
func (e *Engine) pruneReports() {
	members := map[string]bool{}
	for _, m := range e.view.Members {
		members[m.VM.Name] = true
	}
	for _, g := range e.groups {
		g.load.prune(members)
	}
}

// Owned returns the number of slots owned by this VM over all services, and how many
// wait for a former owner or are to be passed on.
func (e *Engine) Owned() (owned, waiting int) {
	for _, g := range e.groups {
		for n := range g.slots {
			switch sl := &g.slots[n]; {
			case sl.phase == owning:
				owned++
			case sl.phase == awaiting || sl.handed:
				waiting++
			}
		}
	}
	return owned, waiting
}
