// Package sparnode joins the decisions of one VM: membership, settings, routing
// and the streams to the other VMs.
//
// A Node does no I/O and reads no clock. Its shell feeds it what arrives and the
// time, and sends what it returns:
//
//	n := sparnode.New(file, incarnation, now, wall)
//	for _, out := range n.Tick(now, wall) {
//		switch out := out.(type) {
//		case sparnode.Beat:
//			// send out.Report to out.To
//		case sparnode.Pull:
//			// ask out.From for settings, then call n.Merge
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
	// TickEvery is how often the shell calls Tick.
	TickEvery = 20 * time.Millisecond

	fullEvery = 16 // heartbeats between two that carry the addresses of the VM
	loadEvery = 2  // heartbeats between two that carry loads
	pullEvery = sparmember.Beat
)

type (
	// Output is something for the shell to do. It is a sealed interface: Beat,
	// Frame, Pull, Sweep or Release.
	Output interface {
		output()
	}

	// Beat is a heartbeat to send.
	Beat struct {
		To     sparconfig.VM
		Report sparcontrol.Report
	}

	// Frame is a frame to send.
	Frame struct {
		To      sparconfig.VM
		Message sparcontrol.Message
	}

	// Pull asks a peer for the settings changed after a revision.
	Pull struct {
		From  sparconfig.VM
		After uint64
	}

	// Release takes a held packet through Engine.Forward again.
	Release struct {
		Key sparflow.Key
	}

	// Node is the deciding part of one VM. Use New.
	Node struct {
		Engine   *sparroute.Engine
		Tracker  *sparmember.Tracker
		Timeline *spartimeline.Ring

		self        sparconfig.VM
		incarnation uint64
		registry    sparregistry.Registry
		snapshot    sparconfig.Snapshot
		clock       spartimeline.Clock
		streams     map[string]*sparstream.Stream[sparroute.Message]
		now         time.Duration
		wall        time.Time
		beaten      time.Duration
		beats       int
		pulled      map[string]pulled
		inForce     uint64
		swept       time.Duration
		unused      map[string]unused
	}

	pulled struct {
		at     time.Duration
		digest uint32
	}
)

func (Beat) output()    {}
func (Frame) output()   {}
func (Pull) output()    {}
func (Release) output() {}

// New returns a node for the VM of a settings file. Its incarnation must be above
// those of its earlier starts.
func New(file sparconfig.File, incarnation uint64, now time.Duration, wall time.Time) *Node {
	k0, k1 := file.Keys()
	n := &Node{
		Engine:   sparroute.New(file.Name, sparflow.NewHasher(k0, k1), file.Flows),
		Tracker:  sparmember.NewTracker(file.VM(), incarnation, now),
		Timeline: spartimeline.NewRing(spartimeline.DefaultSize),
		self:     file.VM(), incarnation: incarnation, now: now, wall: wall,
		streams: map[string]*sparstream.Stream[sparroute.Message]{}, pulled: map[string]pulled{},
		unused: map[string]unused{},
	}
	n.Engine.Advance(now, wall)
	n.Engine.Connect(n.queue, n.acked)
	n.note(sparroute.Event{Kind: "started"})
	return n
}

// Registry returns the settings entries that this VM knows.
func (n *Node) Registry() sparregistry.Registry { return n.registry }

// Snapshot returns the settings in force.
func (n *Node) Snapshot() sparconfig.Snapshot { return n.snapshot }

// Advance sets the time for the calls that follow. After a pause of the process it
// gives ownership up first, so that no packet that waited in a socket buffer is decided
// with an old view.
func (n *Node) Advance(now time.Duration, wall time.Time) {
	paused := now-n.now > sparmember.Fresh
	n.now, n.wall = now, wall
	n.Engine.Advance(now, wall)
	if !paused {
		return
	}
	if pause := n.Tracker.Tick(now); pause > 0 {
		n.Engine.Frozen(pause)
		n.note(sparroute.Event{Kind: "frozen"})
	}
}

// Receive takes a decoded datagram of a peer.
func (n *Node) Receive(in sparcontrol.Input) {
	switch in := in.(type) {
	case sparcontrol.Report:
		n.heard(in)
	case sparcontrol.Message:
		n.take(in)
	}
}

func (n *Node) heard(r sparcontrol.Report) {
	n.clock.Observe(r.Stamp)
	n.Tracker.Heard(r.Heartbeat, n.now)
	name := r.Heartbeat.VM.Name
	life, ok := n.Tracker.Incarnation(name)
	if s := n.streams[name]; s != nil && ok && s.Peer() != life {
		delete(n.streams, name)
	}
	loads := map[string][]sparroute.Count{}
	for _, l := range r.Loads {
		service := n.snapshot.Service(l.Service)
		if service == nil || service.Revision != l.Revision || len(service.Upstreams) != len(l.Flows) {
			continue
		}
		for i, flows := range l.Flows {
			loads[l.Service] = append(loads[l.Service], sparroute.Count{At: service.Upstreams[i].At, Flows: flows})
		}
	}
	if len(loads) > 0 {
		n.Engine.Report(r.Heartbeat.VM.Name, loads)
	}
}

// Stop makes the VM hand its slots over.
func (n *Node) Stop() {
	n.Tracker.Stop()
	n.note(sparroute.Event{Kind: "leaving"})
}

// Drained reports whether a stopping VM has handed everything over.
func (n *Node) Drained() bool {
	decided, waiting := n.Engine.Owned()
	if decided+waiting > 0 && len(n.Tracker.Live(n.now)) > 0 {
		return false
	}
	for name, s := range n.streams {
		if s.Pending() > 0 && n.Tracker.Hears(name, n.now) {
			return false
		}
	}
	return true
}

// Tick does what time makes due.
func (n *Node) Tick(now time.Duration, wall time.Time) []Output {
	n.Advance(now, wall)
	n.Tracker.Tick(now)
	n.Engine.SetView(n.Tracker.View(now))
	n.Engine.SetNewerPeer(n.newer())
	n.Engine.SetViewIncomplete(n.Tracker.Partial(now))
	n.Engine.Tick()
	var outs []Output
	if now-n.beaten >= sparmember.Beat {
		n.beaten = now
		outs = append(outs, n.beat()...)
	}
	outs = append(outs, n.pulls()...)
	outs = append(outs, n.sweeps()...)
	outs = append(outs, n.frames()...)
	return append(outs, n.Drain()...)
}

// Drain returns the effects of the engine since the last call.
func (n *Node) Drain() []Output {
	var outs []Output
	for _, effect := range n.Engine.Effects() {
		switch effect := effect.(type) {
		case sparroute.Release:
			outs = append(outs, Release{Key: effect.Key})
		case sparroute.Event:
			n.note(effect)
		}
	}
	return outs
}

func (n *Node) beat() []Output {
	report := sparcontrol.Report{
		Heartbeat: n.Tracker.Beats(n.inForce, n.snapshot.Digest, n.now),
	}
	report.Heartbeat.Full = n.beats%fullEvery == 0
	if n.beats%loadEvery == 0 {
		report.Loads = n.loads()
		report.Stamp = n.clock.Next(n.wall)
	}
	n.beats++
	var outs []Output
	for _, to := range n.Tracker.Targets() {
		r := report
		r.Heartbeat.Full = r.Heartbeat.Full || !n.Tracker.Knows(to.Name, n.now)
		outs = append(outs, Beat{To: to, Report: r})
	}
	return outs
}

func (n *Node) loads() []sparcontrol.ServiceLoad {
	var list []sparcontrol.ServiceLoad
	for name, counts := range n.Engine.Loads() {
		service := n.snapshot.Service(name)
		load := sparcontrol.ServiceLoad{Service: name, Revision: service.Revision}
		any := false
		for _, c := range counts {
			load.Flows = append(load.Flows, c.Flows)
			any = any || c.Flows > 0
		}
		if any {
			list = append(list, load)
		}
	}
	return list
}

func (n *Node) note(note sparroute.Event) {
	n.Timeline.Add(spartimeline.Event{
		At: n.clock.Next(n.wall), VM: n.self.Name, Kind: note.Kind,
		Service: note.Service, Subject: note.Subject, Count: note.Count,
	})
}
