// Package sparnode combines the decisions of one VM: membership, settings, routing
// and the streams to the other VMs.
//
// A Node does no I/O and reads no clock. Its caller passes in the time and the messages
// received, and sends the outputs that the node returns:
//
//	n := sparnode.New(file, incarnation, now, wall)
//	for _, out := range n.Tick(now, wall) {
//		switch out := out.(type) {
//		case sparnode.Beat:
//			// send out.Report to out.To
//		case sparnode.Pull:
//			// request settings from out.From, then call n.Merge
//		}
//	}
package sparnode

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparstream"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// TickEvery is the interval between calls of Tick.
	TickEvery = 20 * time.Millisecond

	// pullEvery is the least time between two pulls from a peer: its settings are known anew with
	// each of its heartbeats.
	pullEvery = sparmember.Beat
)

type (
	// Output is something for the caller of a node to do. It is a sealed interface: Beat,
	// Frame, Pull, RaiseEra, ReleaseClaim or Release.
	Output interface {
		output()
	}

	// Beat is a heartbeat to send.
	Beat struct {
		To     sparconfig.VM
		Report sparcontrol.Report
	}

	// Frame is a frame of a stream to send.
	Frame struct {
		To      sparconfig.VM
		Message sparcontrol.Message
	}

	// Pull requests the settings changed after a position from a peer.
	Pull struct {
		From  sparconfig.VM
		After sparregistry.Position
	}

	// Release asks to pass a held packet to Engine.Forward again.
	Release struct {
		Key sparflow.Key
	}

	// Node makes the decisions of one VM. Use New.
	Node struct {
		Engine   *sparroute.Engine
		Tracker  *sparmember.Tracker
		Timeline *spartimeline.Ring

		self           sparconfig.VM
		incarnation    uint64
		registry       sparregistry.Registry
		snapshot       sparconfig.Snapshot
		clock          spartimeline.Clock
		streams        map[string]*sparstream.Stream[sparroute.Message]
		now            time.Duration
		wall           time.Time
		lastBeat       time.Duration
		heartbeats     int
		lastPulls      map[string]lastPull
		inForce        sparregistry.Position
		lastRead       sparregistry.Position // of the platform by this VM
		wantedEra      uint64                // that the platform must reach before its reads count again
		raise          []Output              // RaiseEra to return with the next outputs
		lastClaimCheck time.Duration
		unusedClaims   map[string]unusedClaim
	}

	lastPull struct {
		at     time.Duration
		digest uint32
	}
)

func (Beat) output()    {}
func (Frame) output()   {}
func (Pull) output()    {}
func (Release) output() {}

// New returns a node for the VM of a settings file. Its incarnation must be higher than
// that of every earlier start.
func New(file sparconfig.File, incarnation uint64, now time.Duration, wall time.Time) *Node {
	k0, k1 := file.Keys()
	n := &Node{
		Engine:   sparroute.New(file.Name, sparflow.NewHasher(k0, k1), file.Flows),
		Tracker:  sparmember.NewTracker(file.VM(), incarnation, now),
		Timeline: spartimeline.NewRing(spartimeline.DefaultSize),
		self:     file.VM(), incarnation: incarnation, now: now, wall: wall,
		streams: map[string]*sparstream.Stream[sparroute.Message]{}, lastPulls: map[string]lastPull{},
		unusedClaims: map[string]unusedClaim{},
	}
	n.Engine.Advance(now, wall)
	n.Engine.Connect(n.queue, n.acked)
	n.addEvent(sparroute.Event{Kind: "started"})
	return n
}

// Registry returns the settings entries that this VM has.
func (n *Node) Registry() sparregistry.Registry { return n.registry }

// Snapshot returns the settings in force.
func (n *Node) Snapshot() sparconfig.Snapshot { return n.snapshot }

// Advance sets the time for the calls that follow. After a pause of the process it gives up
// all slots, so that a packet that waited in a socket buffer is not decided by an outdated
// view.
func (n *Node) Advance(now time.Duration, wall time.Time) {
	paused := now-n.now > sparmember.MaxPause
	n.now, n.wall = now, wall
	n.Engine.Advance(now, wall)
	if !paused {
		return
	}
	if pause := n.Tracker.Tick(now); pause > 0 {
		n.Engine.Frozen(pause)
		n.addEvent(sparroute.Event{Kind: "frozen"})
	}
}

// Receive applies a decoded datagram from a peer.
func (n *Node) Receive(in sparcontrol.Input) {
	switch in := in.(type) {
	case sparcontrol.Report:
		n.receiveReport(in)
	case sparcontrol.Message:
		n.receiveMessage(in)
	}
}

// Stop starts the handover of all slots of this VM.
func (n *Node) Stop() {
	n.Tracker.Stop()
	n.addEvent(sparroute.Event{Kind: "leaving"})
}

// HandedOver reports whether a stopping VM has handed everything over.
func (n *Node) HandedOver() bool {
	decided, waiting := n.Engine.Owned()
	if decided+waiting > 0 && len(n.Tracker.Live(n.now)) > 0 {
		return false
	}
	for name, s := range n.streams {
		if s.Pending() > 0 && n.Tracker.ReceivesFrom(name, n.now) {
			return false
		}
	}
	return true
}

// Tick does the periodic work that is due.
func (n *Node) Tick(now time.Duration, wall time.Time) []Output {
	n.Advance(now, wall)
	n.Tracker.Tick(now)
	n.Engine.SetView(n.Tracker.View(now))
	n.Engine.SetNewerPeer(n.newerPeer())
	n.Engine.SetViewIncomplete(n.Tracker.ViewIncomplete(now))
	n.Engine.Tick()
	var outs []Output
	if now-n.lastBeat >= sparmember.Beat {
		n.lastBeat = now
		outs = append(outs, n.beat()...)
	}
	outs = append(outs, n.pulls()...)
	outs = append(outs, n.releaseClaims()...)
	outs = append(outs, n.frames()...)
	return append(outs, n.Effects()...)
}

// Effects returns the outputs that result from effects of the engine since the last call.
func (n *Node) Effects() []Output {
	outs := n.raise
	n.raise = nil
	for _, effect := range n.Engine.Effects() {
		switch effect := effect.(type) {
		case sparroute.Release:
			outs = append(outs, Release{Key: effect.Key})
		case sparroute.Event:
			n.addEvent(effect)
		}
	}
	return outs
}

func (n *Node) addEvent(e sparroute.Event) {
	n.Timeline.Add(spartimeline.Event{
		At: n.clock.Next(n.wall), VM: n.self.Name, Kind: e.Kind,
		Service: e.Service, Subject: e.Subject, Count: e.Count,
	})
}
