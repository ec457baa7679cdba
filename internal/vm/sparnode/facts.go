package sparnode

import (
	"slices"
	"strings"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// Facts returns the current state of this VM for status reports.
func (n *Node) Facts() *sparcontrol.FactsReply {
	view := n.Engine.View()
	_, waiting := n.Engine.Owned()
	facts := &sparcontrol.FactsReply{
		Vm: sparcontrol.FromVM(n.self), State: string(n.Tracker.State()), Incarnation: n.incarnation,
		Era: n.inForce.Era, Revision: n.inForce.Revision, Digest: n.snapshot.Digest, View: view.Digest, Settled: view.Settled,
		Members: uint32(len(view.Members)), Waiting: uint32(waiting), Evacuations: n.evacuationFacts(),
	}
	for name, service := range n.snapshot.Services() {
		facts.Services = append(facts.Services, n.serviceFacts(name, service))
	}
	slices.SortFunc(facts.Services, func(a, b *sparcontrol.ServiceFacts) int { return strings.Compare(a.Name, b.Name) })
	for _, p := range n.snapshot.Problems {
		facts.Problems = append(facts.Problems, &sparcontrol.ProblemFacts{
			Service: p.Service, Era: p.At.Era, Revision: p.At.Revision, Cause: p.Cause, Kept: p.Kept,
		})
	}
	return facts
}

func (n *Node) serviceFacts(name string, service *sparconfig.Service) *sparcontrol.ServiceFacts {
	facts := &sparcontrol.ServiceFacts{Name: name, Era: service.At.Era, Revision: service.At.Revision}
	for _, u := range service.Upstreams {
		state := n.Engine.UpstreamState(name, u.At)
		facts.Upstreams = append(facts.Upstreams, &sparcontrol.UpstreamFacts{
			At: uint64(u.At), Draining: u.Draining, Gone: u.DrainEnded(n.wall), Until: u.Until.Unix(),
			Flows: uint32(state.Flows), Healthy: state.Healthy, Unrecorded: state.Unrecorded, Evacuated: u.Evacuated,
		})
	}
	return facts
}

// Expected returns the VMs that should respond: those that have sent heartbeats recently,
// and those that the platform lists as live.
func (n *Node) Expected() []sparconfig.VM {
	return slices.DeleteFunc(n.Tracker.Targets(), func(vm sparconfig.VM) bool {
		return !n.Tracker.ReceivesFrom(vm.Name, n.now) && !n.Tracker.RegisteredLive(vm.Name)
	})
}
