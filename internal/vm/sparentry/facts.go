package sparentry

import (
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// States of a VM, as shown by the status command.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateLeaving  = "leaving"
)

// facts returns the current state of this VM.
func (vm *VM) facts() *sparcontrol.FactsReply {
	roster := vm.engine.Roster()
	facts := &sparcontrol.FactsReply{
		Vm: sparcontrol.FromVM(vm.file.VM()), State: vm.state(), Incarnation: uint64(vm.began.UnixMilli()),
		Era: roster.At.Era, Revision: roster.At.Revision, Restoring: vm.registry.Restoring(), Digest: roster.Digest,
		Settled: true, Members: uint32(len(roster.VMs)), Platform: vm.reachable, Evacuations: vm.evacuationFacts(),
	}
	services := map[string]*sparcontrol.ServiceFacts{}
	for _, state := range vm.engine.UpstreamStates() {
		s := services[state.Upstream.Service]
		if s == nil {
			s = &sparcontrol.ServiceFacts{Name: state.Upstream.Service, Era: roster.RoutingAt.Era, Revision: roster.RoutingAt.Revision}
			services[s.Name] = s
			facts.Services = append(facts.Services, s)
		}
		s.Upstreams = append(s.Upstreams, upstreamFacts(state, roster))
	}
	for _, p := range roster.Problems {
		facts.Problems = append(facts.Problems, &sparcontrol.ProblemFacts{Service: p.Key, Era: p.At.Era, Revision: p.At.Revision, Cause: p.Cause})
	}
	return facts
}

// upstreamFacts never reports an upstream as drained: it may have idle flows that this VM
// has not seen, and no VM has a record of all flows.
func upstreamFacts(state sparcookie.UpstreamState, roster sparroster.Roster) *sparcontrol.UpstreamFacts {
	return &sparcontrol.UpstreamFacts{
		At: uint64(state.Upstream.At), Draining: state.Upstream.Draining, Flows: uint32(state.Flows),
		Healthy: state.Healthy, Unrecorded: true, Evacuated: roster.Evacuates(state.Upstream.Domain),
	}
}

func (vm *VM) state() string {
	switch {
	case vm.leave.Begun():
		return stateLeaving
	case !vm.synced:
		return stateStarting
	}
	return stateServing
}
