package sparroute

import (
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

// Receive applies a message from the engine of another VM.
func (e *Engine) Receive(peer string, m Message) {
	switch m := m.(type) {
	case Sync:
		if g := e.groups[m.Service]; g != nil {
			e.receiveSync(g, m)
		}
	case Handover:
		if g := e.groups[m.Service]; g != nil {
			e.receiveHandover(g, m)
		}
	case HandoverEnd:
		if g := e.groups[m.Service]; g != nil {
			e.receiveHandoverEnd(g, peer, m)
		}
	}
}

// handOver sends the records and default upstreams of slots to their new owner.
func (e *Engine) handOver(g *group, peer string, slots []uint16) {
	moved := slotSet(slots)
	var flows batch[flowAttrs, sparflow.Key]
	for key, f := range g.flows {
		if moved[uint16(key.Slot())] && (f.state == flowOpen || f.state == flowOpening || f.state == flowSearch) {
			flows.add(attrsOf(f), key)
		}
	}
	for chunk := range slices.Chunk(slots, maxSlots) {
		e.queue(peer, Handover{Service: g.service.Name, Reset: chunk})
	}
	for _, chunk := range flowChunks(&flows) {
		e.queue(peer, Handover{Service: g.service.Name, Flows: chunk})
	}
	last := ack{peer: peer}
	for _, chunk := range defaultChunks(g, slots) {
		last.seq = e.queue(peer, HandoverEnd{Service: g.service.Name, Defaults: chunk})
	}
	g.handovers = append(g.handovers, handover{ack: last, slots: slots})
	g.scanDue = true
	e.emit(Event{Kind: "handover-sent", Service: g.service.Name, Subject: peer, Count: len(slots)})
}

// retryHandovers removes acknowledged handovers, and sends those whose receiver has left
// the view to the current owners. It reports whether some are in progress.
func (e *Engine) retryHandovers(g *group) (waiting bool) {
	var kept []handover
	again := map[string][]uint16{}
	for _, h := range g.handovers {
		switch {
		case e.acked(h.peer) >= h.seq:
		case e.present(h.peer):
			kept = append(kept, h)
		default:
			e.readdress(g, h, again)
		}
	}
	g.handovers = kept
	for _, owner := range sorted(again) {
		e.handOver(g, owner, again[owner])
	}
	return len(g.handovers) > 0
}

// readdress adds the slots of a failed handover to the lists of their current owners.
func (e *Engine) readdress(g *group, h handover, again map[string][]uint16) {
	for _, n := range h.slots {
		owner, ok := e.ownerName(int(n))
		if phase := g.slots[n].phase; ok && phase != owning && phase != awaiting {
			again[owner] = append(again[owner], n)
		}
	}
}

func slotSet(slots []uint16) map[uint16]bool {
	set := make(map[uint16]bool, len(slots))
	for _, n := range slots {
		set[n] = true
	}
	return set
}

func (e *Engine) receiveHandover(g *group, m Handover) {
	e.reset(g, m.Reset)
	for _, flows := range m.Flows {
		f := flow{upstream: flows.Upstream, changed: e.seconds(), state: flowOpen}
		if flows.Opening {
			f.state = flowOpening
		}
		if flows.Unverified {
			f.flags |= flagUnverified
		}
		for _, key := range flows.Keys {
			e.adopt(g, key, f)
		}
	}
}

// adopt stores a record from another owner. If this VM owns the slot and has a record for
// another upstream, the record of an established flow takes precedence. If both or neither
// are established, the existing one stays. It is marked unverified if it stays.
func (e *Engine) adopt(g *group, key sparflow.Key, f flow) {
	existing, known := g.flows[key]
	sl := &g.slots[key.Slot()]
	g.anyRemoved = g.anyRemoved || !g.carries[f.upstream]
	if sl.phase != owning {
		g.flows[key] = f
		return
	}
	if known && existing.upstream == f.upstream {
		return
	}
	if known && (existing.state == flowOpen || f.state != flowOpen) {
		existing.flags |= flagUnverified
		g.flows[key] = existing
		return
	}
	e.record(g, key, f)
	e.markDirty(g, key.Slot())
}

// reset deletes the records of slots before another VM sends its own. It skips slots owned
// here, and slots handed over to this VM to be owned here or passed on.
func (e *Engine) reset(g *group, slots []uint16) {
	if len(slots) == 0 {
		return
	}
	stale := map[uint16]bool{}
	for _, n := range slots {
		if int(n) < len(g.slots) && g.slots[n].phase != owning && !g.slots[n].handed {
			stale[n] = true
			g.slots[n].since = e.now
		}
	}
	for key := range g.flows {
		if stale[uint16(key.Slot())] {
			delete(g.flows, key)
		}
	}
}

// receiveHandoverEnd completes a handover. A VM that is not yet the owner in its view keeps
// the received records until it is.
func (e *Engine) receiveHandoverEnd(g *group, peer string, m HandoverEnd) {
	slots := 0
	for _, d := range m.Defaults {
		for _, n := range d.Slots {
			if int(n) >= len(g.slots) || g.slots[n].phase == owning {
				continue
			}
			sl := &g.slots[n]
			sl.defaultUpstream, sl.complete = d.Upstream, d.Complete
			sl.handed, sl.overridesKnown, sl.from, sl.since = true, true, peer, e.now
			g.scanDue = true
			slots++
			if sl.phase == awaiting {
				e.takeOver(g, int(n))
			}
		}
	}
	g.recount()
	e.releaseOwned(g)
	e.emit(Event{Kind: "handover-taken", Service: g.service.Name, Subject: peer, Count: slots})
}

// releaseOwned releases the held packets of owned slots, unless they wait for standbys.
func (e *Engine) releaseOwned(g *group) {
	for _, key := range sorted(g.held) {
		f, known := g.flows[key]
		if g.slots[key.Slot()].phase == owning && (!known || f.state != flowHeld) {
			e.release(g, key)
		}
	}
}

// expireAwaiting takes over slots whose former owner does not hand over, and passes on
// slots that were handed to this VM by mistake. It reports whether slots still wait.
func (e *Engine) expireAwaiting(g *group) (waiting bool) {
	taken := 0
	misdirected := map[string][]uint16{}
	for n := range g.slots {
		sl := &g.slots[n]
		switch {
		case sl.phase == awaiting && (e.now-sl.since > HandoverWait || !e.present(sl.from)):
			sl.complete = false
			e.takeOver(g, n)
			taken++
		case sl.handed && sl.phase != owning && e.now-sl.since > handedWait:
			sl.handed = false
			if owner, ok := e.ownerName(n); ok && owner != sl.from {
				misdirected[owner] = append(misdirected[owner], uint16(n))
			}
		case sl.handed || sl.phase == awaiting:
			waiting = true
		}
	}
	for _, owner := range sorted(misdirected) {
		e.handOver(g, owner, misdirected[owner])
	}
	if taken > 0 {
		g.recount()
		e.releaseOwned(g)
		e.emit(Event{Kind: "takeover", Service: g.service.Name, Count: taken})
	}
	return waiting
}

func (e *Engine) ownerName(n int) (name string, ok bool) {
	if len(e.roles) == 0 || e.roles[n].owner < 0 || int(e.roles[n].owner) == e.me {
		return "", false
	}
	return e.view.Members[e.roles[n].owner].VM.Name, true
}
