package sparroute

import (
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

// Forward decides on a packet from a client.
func (e *Engine) Forward(s Segment) Verdict {
	g := e.byService[makeAddress(s.Proto, s.To)]
	if g == nil {
		return e.unknown(s, UnknownAddress)
	}
	key := e.hasher.Key(sparflow.Tuple{Client: s.From, Service: s.To, Proto: s.Proto})
	sl := &g.slots[key.Slot()]
	if sl.phase == owning {
		return e.forwardOwned(g, sl, key, s)
	}
	if s.Kind == Data && s.Proto == sparflow.TCP {
		if upstream, ok := e.cache.Lookup(key, e.now); ok {
			return e.toUpstream(g, key, upstream)
		}
	}
	if sl.phase == awaiting {
		return e.forwardAwaiting(g, sl, key, s)
	}
	return e.toOwner(g, key, s)
}

// Return decides on a packet from an upstream.
func (e *Engine) Return(s Segment) Verdict {
	g := e.byUpstream[makeAddress(s.Proto, s.From)]
	if g == nil {
		return e.unknown(s, UnknownUpstream)
	}
	tuple := sparflow.Tuple{Client: s.To, Service: g.service.Address, Proto: s.Proto}
	key := e.hasher.Key(tuple)
	if !g.carries[s.From] {
		e.stats.Aborted++
		return Verdict{Action: AbortClient, At: g.service.Address, Key: key}
	}
	sl := &g.slots[key.Slot()]
	switch {
	case sl.phase == owning:
		if !e.trackReturn(g, key, s) {
			return e.drop(OtherUpstream)
		}
	case s.Kind != Data:
		return e.returnByOwner(key, s)
	case s.Proto == sparflow.TCP:
		e.cache.Put(key, s.From, e.now)
	}
	return Verdict{Action: ToClient, At: g.service.Address, Key: key}
}

// returnByOwner redirects a response that opens or ends a flow to the owner, which alone
// knows whether it comes from the upstream of the flow. Without an owner it is dropped:
// kernels retransmit these packets, or answer the next packet with a new RST.
func (e *Engine) returnByOwner(key sparflow.Key, s Segment) Verdict {
	e.cache.Delete(key)
	if s.Hops < MaxHops {
		if peer, ok := e.owner(key); ok {
			return e.redirect(peer)
		}
	}
	return e.drop(Undecided)
}

// unknown decides on a packet with an address that is not in the settings. A VM with
// newer settings may have it.
func (e *Engine) unknown(s Segment, cause Cause) Verdict {
	if e.newerPeer != "" && s.Hops == 0 {
		return e.redirect(e.newerPeer)
	}
	return e.drop(cause)
}

func (e *Engine) toUpstream(g *group, key sparflow.Key, upstream sparflow.Endpoint) Verdict {
	if g.anyRemoved && !g.carries[upstream] {
		return e.abort()
	}
	return Verdict{Action: ToUpstream, At: upstream, Key: key}
}

// forwardAwaiting decides on a packet of a slot whose handover to this VM is in progress.
func (e *Engine) forwardAwaiting(g *group, sl *slot, key sparflow.Key, s Segment) Verdict {
	if s.Kind == SYN {
		return e.hold(g, key)
	}
	if f, ok := g.flows[key]; ok && f.state != flowClosed {
		return e.toUpstream(g, key, f.upstream)
	}
	if s.Hops < MaxHops && sl.from != "" {
		return e.redirect(sl.from)
	}
	return e.drop(Undecided)
}

func (e *Engine) hold(g *group, key sparflow.Key) Verdict {
	if len(g.held) >= maxHeld {
		return e.drop(HeldFull)
	}
	g.held[key] = true
	return Verdict{Action: Hold, Key: key}
}

// toOwner redirects a packet to the owner of its slot. At the last hop it relies on the
// records of this VM.
func (e *Engine) toOwner(g *group, key sparflow.Key, s Segment) Verdict {
	if s.Hops < MaxHops {
		if peer, ok := e.owner(key); ok {
			return e.redirect(peer)
		}
	}
	if s.Kind == SYN {
		return e.drop(TooManyHops)
	}
	if f, ok := g.flows[key]; ok && f.state != flowClosed {
		return e.toUpstream(g, key, f.upstream)
	}
	return e.drop(Undecided)
}

// owner returns the owner of the slot of key, unless it is this VM or unknown.
func (e *Engine) owner(key sparflow.Key) (peer string, ok bool) {
	if len(e.roles) == 0 {
		return "", false
	}
	owner := int(e.roles[key.Slot()].owner)
	if owner < 0 || owner == e.me {
		return "", false
	}
	return e.view.Members[owner].VM.Name, true
}

// forwardOwned decides on a packet of a slot that this VM owns.
func (e *Engine) forwardOwned(g *group, sl *slot, key sparflow.Key, s Segment) Verdict {
	f, known := g.flows[key]
	if s.Kind == SYN || s.Proto == sparflow.UDP && !known && !e.maybeOlder(g, sl) {
		return e.open(g, sl, key, f, known)
	}
	if known {
		return e.forwardRecorded(g, key, s, f)
	}
	e.stats.Unrecorded++
	if s.Kind == Data && s.Proto == sparflow.TCP {
		return e.startSearch(g, sl, key)
	}
	return e.toDefault(g, sl, key)
}

// toDefault sends a packet of a flow without a record to the default upstream of its slot.
func (e *Engine) toDefault(g *group, sl *slot, key sparflow.Key) Verdict {
	if !g.carries[sl.defaultUpstream] {
		return e.abort()
	}
	return Verdict{Action: ToUpstream, At: sl.defaultUpstream, Key: key}
}

// maybeOlder reports whether a UDP flow without a record may be older than the records
// of its slot. It then belongs to the default upstream until idle flows have expired.
func (e *Engine) maybeOlder(g *group, sl *slot) bool {
	return !sl.complete && g.carries[sl.defaultUpstream] && e.now-sl.since < g.service.Idle
}

// forwardRecorded forwards a packet of a recorded flow and tracks the end of the flow.
func (e *Engine) forwardRecorded(g *group, key sparflow.Key, s Segment, f flow) Verdict {
	if f.state == flowHeld {
		return e.drop(WaitingStandby)
	}
	if f.state == flowOpening && s.Kind == Data {
		// The client got its SYN-ACK without this owner, perhaps across a network partition.
		f.state, f.changed = flowSearch, e.seconds()
		e.record(g, key, f)
	}
	if f.state == flowSearch && s.Kind == Data {
		return Verdict{Action: ToUpstream, At: f.upstream, Key: key, Keep: true}
	}
	switch {
	case s.Proto == sparflow.UDP:
		f.changed = e.seconds()
		g.flows[key] = f
	case s.Kind == FIN && f.flags&flagClientFIN == 0:
		f.flags |= flagClientFIN
		f.changed = e.seconds()
		e.closeIfFinished(g, key, f)
	case s.Kind == RST:
		e.close(g, key, f)
	}
	v := e.toUpstream(g, key, f.upstream)
	v.Keep = f.flags&flagUnverified != 0 && s.Kind == Data
	return v
}

// trackReturn updates the record of a flow by a packet from an upstream. It reports
// whether the packet may reach the client: not if the flow belongs to another upstream,
// except for Data after the flow has closed, and not if it is a RST of a flow without a
// record and records may be missing here.
func (e *Engine) trackReturn(g *group, key sparflow.Key, s Segment) bool {
	f, known := g.flows[key]
	if !known {
		certain := g.slots[key.Slot()].overridesKnown && !e.viewIncomplete
		return s.Kind != RST || certain
	}
	if f.upstream != s.From {
		return f.state == flowClosed && s.Kind == Data
	}
	if f.state == flowSearch {
		return e.trackSearch(g, key, s, f)
	}
	switch s.Kind {
	case SYNACK, Data:
		if f.state == flowOpening {
			f.state, f.changed = flowOpen, e.seconds()
			g.flows[key] = f
			e.recordSuccess(g, f.upstream)
		}
	case FIN:
		if f.flags&flagUpstreamFIN == 0 {
			f.flags |= flagUpstreamFIN
			f.changed = e.seconds()
			e.closeIfFinished(g, key, f)
		}
	case RST:
		if f.flags&flagUnverified != 0 {
			f.flags &^= flagUnverified
			f.state = flowSearch
			return e.trackSearch(g, key, s, f)
		}
		if f.state == flowOpening {
			e.recordFailure(g, f.upstream)
		}
		e.close(g, key, f)
	}
	return true
}

// closeIfFinished closes the flow once both ends have sent FIN.
func (e *Engine) closeIfFinished(g *group, key sparflow.Key, f flow) {
	if f.flags&flagClientFIN != 0 && f.flags&flagUpstreamFIN != 0 {
		e.close(g, key, f)
		return
	}
	g.flows[key] = f
}

// close marks a flow closed. Its record stays for linger, so that a new flow of the same
// tuple goes to the same upstream while other VMs may still have the old one cached.
// Standbys delete their record without this delay.
func (e *Engine) close(g *group, key sparflow.Key, f flow) {
	if f.state == flowClosed {
		return
	}
	f.state, f.changed = flowClosed, e.seconds()
	if f.flags&flagReplicated != 0 {
		g.ended[key] = true
	}
	f.flags &^= flagClientFIN | flagUpstreamFIN | flagReplicated | flagUnverified
	e.record(g, key, f)
}
