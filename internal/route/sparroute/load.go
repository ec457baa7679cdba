package sparroute

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

// maxDrift limits the number of other owners that are assumed to follow the trend seen
// here. A larger limit makes noise look like load, a smaller one lets owners overshoot.
const maxDrift = 2

type (
	// load counts open flows per upstream: exactly for the slots owned here, as last
	// reported for those of other owners.
	load struct {
		own       map[sparflow.Endpoint]int
		ownBefore map[sparflow.Endpoint]int // own at the last report of the others
		remote    map[sparflow.Endpoint]int
		reports   map[string]map[sparflow.Endpoint]int
		reported  bool // some owner has reported since the last tick
	}

	// Count is the number of open flows at one upstream.
	Count struct {
		At    sparflow.Endpoint
		Flows int
	}
)

func newLoad() load {
	return load{
		own: map[sparflow.Endpoint]int{}, ownBefore: map[sparflow.Endpoint]int{},
		remote: map[sparflow.Endpoint]int{}, reports: map[string]map[sparflow.Endpoint]int{},
	}
}

// estimate returns the number of open flows at an upstream over all owners. It assumes
// that up to maxDrift of the others have each had the same change as this VM since their
// last report.
func (l *load) estimate(at sparflow.Endpoint) int {
	own := l.own[at]
	remote := l.remote[at]
	if len(l.reports) == 0 {
		return own
	}
	drift := (own - l.ownBefore[at]) * min(len(l.reports), maxDrift)
	return max(own, own+remote+drift)
}

func (l *load) add(at sparflow.Endpoint, n int) { l.own[at] += n }

// report sets the counts of another owner.
func (l *load) report(peer string, counts map[sparflow.Endpoint]int) {
	for at, n := range l.reports[peer] {
		l.remote[at] -= n
	}
	l.reports[peer] = counts
	for at, n := range counts {
		l.remote[at] += n
	}
	l.reported = true
}

// prune deletes the reports of VMs that are not members.
func (l *load) prune(members map[string]bool) {
	for peer := range l.reports {
		if !members[peer] {
			l.report(peer, nil)
			delete(l.reports, peer)
		}
	}
}

// tick starts a new interval for the estimate once the others have reported.
func (l *load) tick() {
	if !l.reported {
		return
	}
	l.reported = false
	clear(l.ownBefore)
	for at, n := range l.own {
		l.ownBefore[at] = n
	}
}

// Loads returns the number of open flows in slots owned here, by service and upstream.
func (e *Engine) Loads() map[string][]Count {
	all := map[string][]Count{}
	for name, g := range e.groups {
		counts := make([]Count, 0, len(g.service.Upstreams))
		for _, u := range g.service.Upstreams {
			counts = append(counts, Count{At: u.At, Flows: g.load.own[u.At]})
		}
		all[name] = counts
	}
	return all
}

// Report sets the loads of another owner.
func (e *Engine) Report(peer string, loads map[string][]Count) {
	for name, counts := range loads {
		g := e.groups[name]
		if g == nil || peer == e.self {
			continue
		}
		flowsByUpstream := map[sparflow.Endpoint]int{}
		for _, c := range counts {
			flowsByUpstream[c.At] = c.Flows
		}
		g.load.report(peer, flowsByUpstream)
	}
}

// counted reports whether a record counts as load.
func counted(f flow) bool { return f.state != flowClosed }

// record stores a record of a slot owned here and updates the load.
func (e *Engine) record(g *group, key sparflow.Key, f flow) {
	old, known := g.flows[key]
	if !known && len(g.flows) >= maxFlows {
		return
	}
	if known && counted(old) {
		g.load.add(old.upstream, -1)
	}
	if counted(f) {
		g.load.add(f.upstream, 1)
	}
	g.flows[key] = f
}

// forget deletes a record of an owned slot, here and at the standbys.
func (e *Engine) forget(g *group, key sparflow.Key) {
	f, known := g.flows[key]
	if !known {
		return
	}
	if counted(f) {
		g.load.add(f.upstream, -1)
	}
	delete(g.flows, key)
	if f.flags&flagReplicated != 0 {
		e.sendToStandbys(key.Slot(), Sync{Service: g.service.Name, Removed: []sparflow.Key{key}})
	}
}

// recount recomputes the load of the owned slots from their records.
func (g *group) recount() {
	clear(g.load.own)
	for key, f := range g.flows {
		if counted(f) && g.slots[key.Slot()].phase == owning {
			g.load.add(f.upstream, 1)
		}
	}
	clear(g.load.ownBefore)
	for at, n := range g.load.own {
		g.load.ownBefore[at] = n
	}
}

// collectFlows deletes expired records and those of slots that this VM no longer serves.
func (e *Engine) collectFlows(g *group) {
	removed := map[int][]sparflow.Key{}
	leaving := map[int]bool{}
	for _, h := range g.handovers {
		for _, n := range h.slots {
			leaving[int(n)] = true
		}
	}
	for key, f := range g.flows {
		n := key.Slot()
		switch {
		case leaving[n]:
		case g.slots[n].phase == owning && f.state == flowSearch:
			e.endSearch(g, key, f)
		case g.slots[n].phase == owning:
			if !e.expired(g, f) {
				continue
			}
			if f.flags&flagReplicated != 0 {
				removed[n] = append(removed[n], key)
			}
			if counted(f) {
				g.load.add(f.upstream, -1)
			}
			delete(g.flows, key)
		case g.slots[n].phase == none && !g.slots[n].handed && e.now-g.slots[n].since > collectEvery:
			delete(g.flows, key)
		case g.slots[n].phase == standby && f.flags&flagReplicated == 0 && e.now-g.slots[n].since > collectEvery:
			delete(g.flows, key)
		}
	}
	e.sendRemoved(g, removed)
}

// flushEnded has standbys delete the overrides that have ended.
func (e *Engine) flushEnded(g *group) {
	if len(g.ended) == 0 {
		return
	}
	removed := map[int][]sparflow.Key{}
	for _, key := range sorted(g.ended) {
		if g.slots[key.Slot()].phase == owning {
			removed[key.Slot()] = append(removed[key.Slot()], key)
		}
	}
	clear(g.ended)
	e.sendRemoved(g, removed)
}

// sendRemoved sends removals in batches to each standby.
func (e *Engine) sendRemoved(g *group, removed map[int][]sparflow.Key) {
	byPeer := map[string][]sparflow.Key{}
	for _, n := range sorted(removed) {
		for _, peer := range e.standbysOf(n) {
			byPeer[peer] = append(byPeer[peer], removed[n]...)
		}
	}
	for _, peer := range sorted(byPeer) {
		keys := byPeer[peer]
		for len(keys) > 0 {
			n := min(len(keys), maxKeys)
			e.queue(peer, Sync{Service: g.service.Name, Removed: keys[:n]})
			keys = keys[n:]
		}
	}
}

// expired reports whether the record of an owned slot can be deleted.
func (e *Engine) expired(g *group, f flow) bool {
	switch {
	case f.state == flowClosed:
		return e.age(f) > linger
	case f.flags&(flagClientFIN|flagUpstreamFIN) != 0:
		return e.age(f) > g.service.Silent
	case f.state == flowOpening || f.state == flowHeld:
		return e.age(f) > 2*time.Minute
	case g.service.Proto == sparflow.UDP:
		return e.age(f) > g.service.Idle
	}
	return false
}
