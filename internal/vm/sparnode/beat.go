package sparnode

import (
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	fullEvery = 16 // every 16th heartbeat carries the addresses of the VM
	loadEvery = 2  // every 2nd heartbeat carries loads
)

// receiveReport applies a heartbeat. Its loads count only if they are of the service documents that
// this VM has in force, since they name upstreams by their index.
func (n *Node) receiveReport(r sparcontrol.Report) {
	n.clock.Observe(r.Stamp)
	n.Tracker.Received(r.Heartbeat, n.now)
	name := r.Heartbeat.VM.Name
	incarnation, ok := n.Tracker.Incarnation(name)
	if s := n.streams[name]; s != nil && ok && s.Peer() != incarnation {
		delete(n.streams, name)
	}
	loads := map[string][]sparroute.Count{}
	for _, l := range r.Loads {
		service := n.snapshot.Service(l.Service)
		if service == nil || service.At != (sparregistry.Position{Era: r.Heartbeat.At.Era, Revision: l.Revision}) || len(service.Upstreams) != len(l.Flows) {
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

// beat returns a heartbeat to each target. It carries the addresses of this VM also to peers that do
// not receive its heartbeats yet.
func (n *Node) beat() []Output {
	report := sparcontrol.Report{
		Heartbeat: n.Tracker.Heartbeat(n.inForce, n.snapshot.Digest, n.now),
	}
	report.Heartbeat.Full = n.heartbeats%fullEvery == 0
	if n.heartbeats%loadEvery == 0 {
		report.Loads = n.loads()
		report.Stamp = n.clock.Next(n.wall)
	}
	n.heartbeats++
	var outs []Output
	for _, to := range n.Tracker.Targets() {
		r := report
		r.Heartbeat.Full = r.Heartbeat.Full || !n.Tracker.ReceivedBy(to.Name, n.now)
		outs = append(outs, Beat{To: to, Report: r})
	}
	return outs
}

// loads returns the open flows of the services that have any, in the slots owned here.
func (n *Node) loads() []sparcontrol.ServiceLoad {
	var list []sparcontrol.ServiceLoad
	for name, counts := range n.Engine.Loads() {
		service := n.snapshot.Service(name)
		load := sparcontrol.ServiceLoad{Service: name, Revision: service.At.Revision}
		loaded := false
		for _, c := range counts {
			load.Flows = append(load.Flows, c.Flows)
			loaded = loaded || c.Flows > 0
		}
		if loaded {
			list = append(list, load)
		}
	}
	return list
}
