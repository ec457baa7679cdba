package sparroute

import (
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

// identity is a VM in one of its lives.
type identity struct {
	name        string
	incarnation uint64
}

// Join takes a new view of the members. Slots that move to another owner are
// handed over; slots that move here wait for their former owner, if it lives.
func (e *Engine) Join(view sparmember.View) {
	if view.Digest == e.view.Digest && len(e.roles) > 0 {
		e.view = view
		return
	}
	oldView, oldRoles := e.view, e.roles
	e.view = view
	e.me = view.Index(e.self)
	e.roles = assignRoles(view)
	e.keepReports()
	for _, name := range sorted(e.groups) {
		e.reassign(e.groups[name], oldView, oldRoles)
	}
	e.cancelPending()
	e.emit(Note{Kind: "view", Count: len(view.Members)})
}

// assignRoles gives each slot an owner and two standbys. The first standby is the
// VM that owns the slot if the owner goes; the second is in another failure
// domain, so that the loss of a domain leaves one of the three.
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

// reassign moves the slots of one service to the roles of the view.
func (e *Engine) reassign(g *group, oldView sparmember.View, oldRoles []role) {
	g.scanDue = true
	leaving := map[string][]uint16{}
	for n := range g.slots {
		sl := &g.slots[n]
		mine := e.me >= 0 && int(e.roles[n].owner) == e.me
		switch {
		case mine && sl.phase == owning:
			if standbysChanged(oldView, oldRoles, e.view, e.roles, n) || sl.rebasing {
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
			e.yield(g, n)
		}
	}
	for _, peer := range sorted(leaving) {
		e.handOver(g, peer, leaving[peer])
	}
	g.recount()
	e.releaseForeign(g)
}

// yield makes slot n follow the view where it is not owned here. With an empty
// view nobody else owns it either, so an owner stays one.
func (e *Engine) yield(g *group, n int) {
	if e.roles[n].owner < 0 {
		return
	}
	event := sparchart.Event("release")
	if e.isStandby(n) {
		event = "standby"
	}
	e.enter(g, n, event)
}

// acquire starts the ownership of slot n.
func (e *Engine) acquire(g *group, n int, former identity) {
	sl := &g.slots[n]
	switch {
	case sl.handed:
		e.takeOver(g, n)
	case former.name != e.self && e.alive(former):
		e.enter(g, n, "await")
		sl.from = former.name
	default:
		sl.complete = false
		e.takeOver(g, n)
	}
}

// takeOver makes this VM decide for slot n with what it knows.
func (e *Engine) takeOver(g *group, n int) {
	sl := &g.slots[n]
	e.enter(g, n, "takeover")
	sl.handed, sl.resumed, sl.rebasing, sl.from = false, false, false, ""
	if sl.first != 0 && !g.carries[sl.base] {
		sl.base, sl.complete, sl.informed = sl.first, true, true
	}
	e.markDirty(g, n)
}

func (e *Engine) enter(g *group, n int, event sparchart.Event) {
	sl := &g.slots[n]
	next := slotChart.Next(sl.phase, event)
	if next != sl.phase {
		sl.phase, sl.since = next, e.now
	}
	if next != owning {
		sl.rebasing = false
	}
	if next == none {
		sl.informed = false
	}
}

// formerOwner returns the owner of slot n before this view. A VM that had no view
// asks who would own the slot without it.
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

// alive reports whether a VM, in this life of it, can still hand over.
func (e *Engine) alive(id identity) bool {
	return e.reaches(func(m sparmember.Member) bool { return identify(m) == id })
}

// present reports whether the VM called name can still hand over.
func (e *Engine) present(name string) bool {
	return e.reaches(func(m sparmember.Member) bool { return m.VM.Name == name })
}

// reaches reports whether a member or a leaving VM of the view matches.
func (e *Engine) reaches(match func(m sparmember.Member) bool) bool {
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

// cancelPending gives up what waited under the former view: a rebase is planned
// anew, an opening of a slot that has moved is sent to its new owner.
func (e *Engine) cancelPending() {
	kept := e.pending[:0]
	for _, p := range e.pending {
		if p.key == 0 {
			for _, n := range p.slots {
				p.group.slots[n].rebasing = false
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

// releaseForeign sends held openings of slots that are no longer decided here
// through Forward again.
func (e *Engine) releaseForeign(g *group) {
	for _, key := range sorted(g.held) {
		if phase := g.slots[key.Slot()].phase; phase != owning && phase != awaiting {
			e.release(g, key)
		}
	}
}

// keepReports drops the loads of VMs that own nothing any more.
func (e *Engine) keepReports() {
	names := map[string]bool{}
	for _, m := range e.view.Members {
		names[m.VM.Name] = true
	}
	for _, g := range e.groups {
		g.load.keep(names)
	}
}

// Owned returns the number of slots decided here, over all services, and how
// many wait for a former owner or are to be passed on.
func (e *Engine) Owned() (decided, waiting int) {
	for _, g := range e.groups {
		for n := range g.slots {
			switch sl := &g.slots[n]; {
			case sl.phase == owning:
				decided++
			case sl.phase == awaiting || sl.handed:
				waiting++
			}
		}
	}
	return decided, waiting
}
