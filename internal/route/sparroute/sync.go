package sparroute

import (
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

// markDirty has a full copy of slot n sent to its standbys at the next scan.
func (e *Engine) markDirty(g *group, n int) {
	g.dirty[uint16(n)] = true
	g.scanDue = true
}

// flush sends the standbys full copies of dirty slots, such as slots with a new owner or
// new standbys: their overrides and default upstreams.
func (e *Engine) flush(g *group) {
	if len(g.dirty) == 0 {
		return
	}
	byPeer := map[string][]uint16{}
	for _, n := range sorted(g.dirty) {
		if g.slots[n].phase != owning {
			continue
		}
		for _, peer := range e.standbysOf(int(n)) {
			byPeer[peer] = append(byPeer[peer], n)
		}
	}
	clear(g.dirty)
	for _, peer := range sorted(byPeer) {
		slots := byPeer[peer]
		for chunk := range slices.Chunk(slots, maxSlots) {
			e.queue(peer, Sync{Service: g.service.Name, Reset: chunk})
		}
		e.sendFlows(g, peer, slots, func(f flow, sl *slot) bool { return f.upstream != sl.defaultUpstream })
		for _, chunk := range defaultChunks(g, slots) {
			e.queue(peer, Sync{Service: g.service.Name, Defaults: chunk})
		}
	}
}

// sendFlows sends the records of slots that pick selects to a standby.
func (e *Engine) sendFlows(g *group, peer string, slots []uint16, pick func(f flow, sl *slot) bool) {
	chosen := slotSet(slots)
	var flows batch[flowAttrs, sparflow.Key]
	for key, f := range g.flows {
		sl := &g.slots[key.Slot()]
		if !chosen[uint16(key.Slot())] || !counted(f) || !pick(f, sl) {
			continue
		}
		flows.add(attrsOf(f), key)
		f.flags |= flagReplicated
		g.flows[key] = f
	}
	for _, chunk := range flowChunks(&flows) {
		e.queue(peer, Sync{Service: g.service.Name, Flows: chunk})
	}
}

// receiveSync applies an update from the owner of slots to their standby.
func (e *Engine) receiveSync(g *group, m Sync) {
	e.reset(g, m.Reset)
	for _, flows := range m.Flows {
		f := flow{upstream: flows.Upstream, changed: e.seconds(), state: flowOpen, flags: flagReplicated}
		if flows.Unverified {
			f.flags |= flagUnverified
		}
		for _, key := range flows.Keys {
			e.adopt(g, key, f)
		}
	}
	for _, d := range m.Defaults {
		for _, n := range d.Slots {
			if int(n) < len(g.slots) && g.slots[n].phase != owning && !g.slots[n].handed {
				g.slots[n].defaultUpstream, g.slots[n].overridesKnown = d.Upstream, true
			}
		}
	}
	for _, key := range m.Removed {
		if sl := &g.slots[key.Slot()]; sl.phase != owning && !sl.handed {
			delete(g.flows, key)
		}
	}
}

// changeDefaults changes the default upstream of owned slots to their preferred upstream.
// Flows at the old default become overrides, and the change takes effect once the standbys
// have their records. Slots with flows without a record cannot change, as only the default
// upstream tells where those flows are. It reports whether some slots have to wait.
func (e *Engine) changeDefaults(g *group) (waiting bool) {
	slotsByUpstream := map[sparflow.Endpoint][]uint16{}
	for n := range g.slots {
		sl := &g.slots[n]
		if sl.phase != owning || sl.defaultUpstream == sl.preferred || sl.preferred == 0 || sl.changingDefault {
			continue
		}
		if !e.view.Settled {
			return true
		}
		if !sl.complete && e.now-sl.since > g.service.Silent {
			sl.complete = true
		}
		if !sl.complete {
			waiting = true
			continue
		}
		sl.changingDefault = true
		slotsByUpstream[sl.preferred] = append(slotsByUpstream[sl.preferred], uint16(n))
	}
	for _, upstream := range sorted(slotsByUpstream) {
		e.startDefaultChange(g, upstream, slotsByUpstream[upstream])
	}
	return waiting
}

func (e *Engine) startDefaultChange(g *group, upstream sparflow.Endpoint, slots []uint16) {
	byPeer := map[string][]uint16{}
	for _, n := range slots {
		for _, peer := range e.standbysOf(int(n)) {
			byPeer[peer] = append(byPeer[peer], n)
		}
	}
	p := pending{group: g, upstream: upstream, slots: slots}
	for _, peer := range sorted(byPeer) {
		list := byPeer[peer]
		e.sendFlows(g, peer, list, func(f flow, sl *slot) bool { return f.upstream == sl.defaultUpstream })
		var seq uint64
		for chunk := range slices.Chunk(list, maxSlots) {
			d := DefaultUpstream{Upstream: upstream, Complete: true, Slots: chunk}
			seq = e.queue(peer, Sync{Service: g.service.Name, Defaults: []DefaultUpstream{d}})
		}
		p.acks = append(p.acks, ack{peer: peer, seq: seq})
	}
	e.pending = append(e.pending, p)
}

func (e *Engine) finishDefaultChange(p pending) {
	moved := 0
	for _, n := range p.slots {
		sl := &p.group.slots[n]
		if sl.phase == owning && sl.changingDefault {
			sl.defaultUpstream, sl.changingDefault = p.upstream, false
			moved++
		}
	}
	e.emit(Event{Kind: "rebase", Service: p.group.service.Name, Subject: p.upstream.String(), Count: moved})
}
