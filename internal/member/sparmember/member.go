// Package sparmember determines the membership of VMs from heartbeats.
//
// A Tracker does no I/O and reads no clock: its caller passes it the heartbeats
// received, the VMs registered at the platform and the time, and sends its heartbeats.
//
//	t := sparmember.NewTracker(self, incarnation, now)
//	t.Received(heartbeat, now)
//	view := t.View(now) // the VMs that may own slots, in name order
//
// The VMs registered at the platform receive heartbeats. Only a recent heartbeat makes
// a VM a member, so a registration that is late or that of a dead VM does no harm. Two
// VMs consider each other members only while both receive each other's heartbeats.
package sparmember

import (
	_ "embed"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	// Beat is the interval of the heartbeats to a peer.
	Beat = 300 * time.Millisecond
	// peerTimeout is the time without a heartbeat after which a peer is no longer a member.
	peerTimeout = 4 * Beat
	// MaxPause is the longest pause of this process after which its view is still valid.
	MaxPause = 900 * time.Millisecond
	// listenTime is how long a starting VM listens for owners before it may own slots alone.
	listenTime = 5 * Beat
	// disagreementTimeout is how long disagreement about the view may delay a VM: its
	// overrides, and its start as an owner. A view counts as incomplete for as long after a
	// VM registered as live was unreachable.
	disagreementTimeout = 5 * time.Second

	forgetAfter = time.Minute

	owns = sparchart.Mark("owns")
)

//go:embed vm.chart
var chartText []byte

var vmChart = sparchart.MustParse(chartText)

type (
	// Member is a VM that may own slots.
	Member struct {
		VM          sparconfig.VM
		Incarnation uint64
		Rank        uint64 // hash of the name, for rendezvous hashing
	}

	// View is the set of VMs that may own slots, in name order. It is immutable.
	View struct {
		Members []Member
		Leaving []Member // peers that are leaving and hand their slots over
		Digest  uint64
		Settled bool // all live peers report this view, or disagreementTimeout has passed
	}

	// Heartbeat is the state of a VM that it sends to each peer.
	Heartbeat struct {
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

	// Tracker tracks the membership of the VMs of a deployment on behalf of one of them.
	Tracker struct {
		self           sparconfig.VM
		incarnation    uint64
		state          sparchart.State
		registered     map[string]sparconfig.VM
		peers          map[string]*peer
		synced         bool
		listenSince    time.Duration
		lastTick       time.Duration
		unsettledSince time.Duration
		unreachableAt  time.Duration // last time that a VM registered as live was unreachable
		view           View
	}

	peer struct {
		last       Heartbeat
		receivedAt time.Duration
	}
)

// NewTracker returns a Tracker for self, which starts at monotonic time now.
// The incarnation must increase with each start of the VM.
func NewTracker(self sparconfig.VM, incarnation uint64, now time.Duration) *Tracker {
	return &Tracker{
		self: self, incarnation: incarnation, state: vmChart.Start(),
		registered: map[string]sparconfig.VM{}, peers: map[string]*peer{},
		listenSince: now, lastTick: now, unsettledSince: now,
	}
}

// List sets the VMs that are registered at the platform.
func (t *Tracker) List(vms []sparconfig.VM) {
	t.registered = map[string]sparconfig.VM{}
	for _, vm := range vms {
		t.registered[vm.Name] = vm
	}
}

// Synced is called when the settings hold a full read. Only then does this VM know its
// peers, so the time to listen for them begins at the first call.
func (t *Tracker) Synced() {
	if !t.synced {
		t.listenSince = t.lastTick
	}
	t.synced = true
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

// Stop makes the VM leave. It owns no slots from the next view on.
func (t *Tracker) Stop() { t.state = vmChart.Next(t.state, "stop") }

// State returns the state of this VM in the chart.
func (t *Tracker) State() sparchart.State { return t.state }

// Tick advances the time. If the process was paused for longer than MaxPause, it returns the
// length of the pause and treats all peers as timed out, since their state is out of date.
func (t *Tracker) Tick(now time.Duration) (pause time.Duration) {
	if now-t.lastTick > MaxPause {
		pause = now - t.lastTick
		t.state = vmChart.Next(t.state, "frozen")
		t.listenSince = now
		for _, p := range t.peers {
			p.receivedAt = now - peerTimeout - Beat
		}
	}
	t.lastTick = now
	for name, p := range t.peers {
		if now-p.receivedAt > forgetAfter {
			delete(t.peers, name)
		}
	}
	if !vmChart.Has(t.state, owns) && t.mayOwn(now) {
		t.state = vmChart.Next(t.state, "ready")
	}
	return pause
}

// mayOwn reports whether this VM may begin to own slots: it has settings, and the owners
// from which it receives heartbeats receive its own too. If there are no owners, or some
// don't receive its heartbeats for long, it no longer waits for them.
func (t *Tracker) mayOwn(now time.Duration) bool {
	if !t.synced {
		return false
	}
	waited := now - t.listenSince
	owners, oneWay := 0, 0
	for _, p := range t.peers {
		if !t.live(p, now) || !p.last.Owns {
			continue
		}
		owners++
		if !t.receives(p) {
			oneWay++
		}
	}
	switch {
	case owners == 0:
		return waited >= listenTime
	case oneWay == 0:
		return waited >= 2*Beat
	}
	return waited >= disagreementTimeout
}

// View returns the VMs that may own slots at now.
func (t *Tracker) View(now time.Duration) View {
	next := View{Settled: true}
	if vmChart.Has(t.state, owns) {
		next.Members = append(next.Members, member(t.self, t.incarnation))
	}
	for _, p := range t.peers {
		switch {
		case !t.live(p, now):
		case p.last.Owns && t.receives(p):
			next.Members = append(next.Members, member(p.last.VM, p.last.Incarnation))
		case p.last.Leaving:
			next.Leaving = append(next.Leaving, member(p.last.VM, p.last.Incarnation))
		}
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	next.Digest = viewDigest(next.Members)
	for _, p := range t.peers {
		if t.live(p, now) && p.last.View != Fold(next.Digest) {
			next.Settled = false
		}
	}
	if next.Settled || next.Digest != t.view.Digest {
		t.unsettledSince = now
	}
	if now-t.unsettledSince > disagreementTimeout {
		next.Settled = true
	}
	t.view = next
	return next
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

// Incarnation returns the incarnation of a peer from which a heartbeat was received.
func (t *Tracker) Incarnation(name string) (incarnation uint64, ok bool) {
	p := t.peers[name]
	if p == nil {
		return 0, false
	}
	return p.last.Incarnation, true
}

// VM returns the addresses of a peer from which a heartbeat was received.
func (t *Tracker) VM(name string) (vm sparconfig.VM, ok bool) {
	p := t.peers[name]
	if p == nil {
		return sparconfig.VM{}, false
	}
	return p.last.VM, true
}

// Registered reports whether a VM is registered at the platform.
func (t *Tracker) Registered(name string) bool {
	_, ok := t.registered[name]
	return ok
}

// RegisteredLive reports whether a VM is registered at the platform as live.
func (t *Tracker) RegisteredLive(name string) bool {
	return t.registered[name].State == sparconfig.Live
}

// ReceivesFrom reports whether this VM receives the heartbeats of a peer.
func (t *Tracker) ReceivesFrom(name string, now time.Duration) bool {
	p := t.peers[name]
	return p != nil && t.live(p, now)
}

// ViewIncomplete reports whether the view may be incomplete: a VM that is registered as live
// is unreachable, or was within disagreementTimeout before now.
func (t *Tracker) ViewIncomplete(now time.Duration) bool {
	for name, vm := range t.registered {
		if name != t.self.Name && vm.State == sparconfig.Live && !t.ReceivedBy(name, now) {
			t.unreachableAt = now
			break
		}
	}
	return t.unreachableAt > 0 && now-t.unreachableAt < disagreementTimeout
}

// ReceivedBy reports whether a peer receives the heartbeats of this VM and so has its addresses.
func (t *Tracker) ReceivedBy(name string, now time.Duration) bool {
	return t.ReceivesFrom(name, now) && t.receives(t.peers[name])
}

// ReadsPlatform reports whether this VM reads the platform for its failure domain. The two
// VMs of the domain with the highest rendezvous weights do. Peers that are not synced don't
// count.
func (t *Tracker) ReadsPlatform(now time.Duration) bool {
	const readers = 2
	slot := int(sparrank.Hash(t.self.Domain) % 1024)
	weight := sparrank.Weight(slot, sparrank.Hash(t.self.Name))
	preceding := 0
	for _, p := range t.peers {
		if !t.live(p, now) || p.last.VM.Domain != t.self.Domain || !p.last.Synced {
			continue
		}
		if sparrank.Weight(slot, sparrank.Hash(p.last.VM.Name)) > weight {
			preceding++
		}
	}
	return preceding < readers
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

func member(vm sparconfig.VM, incarnation uint64) Member {
	return Member{VM: vm, Incarnation: incarnation, Rank: sparrank.Hash(vm.Name)}
}

func viewDigest(members []Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range members {
		_, _ = d.WriteString(m.VM.Name)
		_, _ = d.Write([]byte{0, byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24)})
	}
	return d.Sum64()
}

// Fold folds a digest to the 32 bits that a heartbeat carries.
func Fold(digest uint64) uint32 {
	return uint32(digest ^ digest>>32)
}

// Index returns the position of the member called name, or -1.
func (v View) Index(name string) int {
	for i, m := range v.Members {
		if m.VM.Name == name {
			return i
		}
	}
	return -1
}
