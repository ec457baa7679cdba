package sparmember

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// Heartbeat is the state of a VM that it sends to each peer.
type Heartbeat struct {
	VM          sparconfig.VM
	Incarnation uint64
	Owns        bool // may own slots
	Leaving     bool
	Synced      bool                  // its settings hold a full read
	At          sparregistry.Position // of its settings
	Digest      uint32                // of its settings, folded
	View        uint32                // digest of its view, folded
	Unreachable []string              // targets without a heartbeat within peerTimeout, in name order
	Full        bool                  // VM contains the addresses, not only the name
}

// Received is called for a heartbeat received. The first one of a peer is ignored unless it
// contains the addresses of the peer.
func (t *Tracker) Received(h Heartbeat, now time.Duration) {
	p := t.peers[h.VM.Name]
	switch {
	case h.VM.Name == t.self.Name:
		return
	case p == nil && !h.Full:
		return
	case p != nil && h.Incarnation < p.last.Incarnation:
		return
	}
	if !h.Full {
		h.VM = p.last.VM
	}
	t.peers[h.VM.Name] = &peer{last: h, receivedAt: now}
}

// Heartbeat returns the heartbeat of this VM with the given settings.
func (t *Tracker) Heartbeat(at sparregistry.Position, digest uint64, now time.Duration) Heartbeat {
	h := Heartbeat{
		VM: t.self, Incarnation: t.incarnation, Synced: t.synced,
		Owns: vmChart.Has(t.state, owns), Leaving: t.state == "leaving",
		At: at, Digest: Fold(digest), View: Fold(t.view.Digest),
	}
	for _, vm := range t.Targets() {
		if p := t.peers[vm.Name]; p == nil || !t.live(p, now) {
			h.Unreachable = append(h.Unreachable, vm.Name)
		}
	}
	return h
}

// Targets returns the VMs to send heartbeats to, in name order: those registered and those
// from which heartbeats were received.
func (t *Tracker) Targets() []sparconfig.VM {
	targets := map[string]sparconfig.VM{}
	for name, vm := range t.registered {
		targets[name] = vm
	}
	for name, p := range t.peers {
		targets[name] = p.last.VM
	}
	delete(targets, t.self.Name)
	list := make([]sparconfig.VM, 0, len(targets))
	for _, vm := range targets {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b sparconfig.VM) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Live returns the last heartbeats of the peers that have not timed out, in name order.
func (t *Tracker) Live(now time.Duration) []Heartbeat {
	var list []Heartbeat
	for _, p := range t.peers {
		if t.live(p, now) {
			list = append(list, p.last)
		}
	}
	slices.SortFunc(list, func(a, b Heartbeat) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return list
}

// ReceivesFrom reports whether this VM receives the heartbeats of a peer.
func (t *Tracker) ReceivesFrom(name string, now time.Duration) bool {
	p := t.peers[name]
	return p != nil && t.live(p, now)
}

// ReceivedBy reports whether a peer receives the heartbeats of this VM and so has its addresses.
func (t *Tracker) ReceivedBy(name string, now time.Duration) bool {
	return t.ReceivesFrom(name, now) && t.receives(t.peers[name])
}

// live reports whether a heartbeat of the peer was received within peerTimeout.
func (t *Tracker) live(p *peer, now time.Duration) bool {
	return now-p.receivedAt <= peerTimeout
}

// receives reports whether the peer receives the heartbeats of this VM: it doesn't report
// this VM as unreachable. A peer that didn't know this VM would not send heartbeats to it.
func (t *Tracker) receives(p *peer) bool {
	_, unreachable := slices.BinarySearch(p.last.Unreachable, t.self.Name)
	return !unreachable
}
