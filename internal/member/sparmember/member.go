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
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
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

	// forgetAfter is how long a peer stays on record after its last heartbeat.
	forgetAfter = time.Minute

	owns = sparchart.Mark("owns")
)

//go:embed vm.chart
var chartText []byte

var vmChart = sparchart.MustParse(chartText)

type (
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
