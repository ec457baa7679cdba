package sparentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// surveyWait bounds a round of facts, so that status answers within a second.
const surveyWait = 600 * time.Millisecond

// handler serves the twirp service Control.
type handler struct {
	vm *VM
}

// Pull implements Control.
func (h handler) Pull(ctx context.Context, r *sparcontrol.PullRequest) (*sparcontrol.PullReply, error) {
	return consult(ctx, h.vm, func(vm *VM) *sparcontrol.PullReply {
		age := vm.sync.Age(vm.clock.now())
		return &sparcontrol.PullReply{
			Entries:  sparcontrol.FromEntries(vm.registry.After(r.After)),
			Revision: vm.registry.Revision(), Digest: vm.registry.Digest(), Synced: vm.sync.Synced(),
			Reader: vm.sync.Reader(), Age: uint64(max(age, 0).Microseconds()),
		}
	})
}

// Facts implements Control. The reply carries the id of its request.
func (h handler) Facts(ctx context.Context, r *sparcontrol.FactsRequest) (*sparcontrol.FactsReply, error) {
	return consult(ctx, h.vm, func(vm *VM) *sparcontrol.FactsReply {
		facts := vm.facts()
		facts.Id = r.Id
		return facts
	})
}

// Survey implements Control.
func (h handler) Survey(ctx context.Context, r *sparcontrol.SurveyRequest) (reply *sparcontrol.SurveyReply, err error) {
	own, err := h.Facts(ctx, &sparcontrol.FactsRequest{Id: r.Id})
	if err != nil {
		return nil, err
	}
	targets, err := consult(ctx, h.vm, func(vm *VM) []sparconfig.VM { return slices.Clone(vm.engine.Roster().VMs) })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, surveyWait)
	defer cancel()
	reply = &sparcontrol.SurveyReply{Id: r.Id, Answered: []*sparcontrol.FactsReply{own}}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, vm := range targets {
		if vm.Name == h.vm.file.Name {
			continue
		}
		wg.Go(func() {
			facts, err := sparcontrol.NewControlProtobufClient("http://"+vm.Control, surveyClient).Facts(ctx, &sparcontrol.FactsRequest{Id: r.Id})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || facts.Id != r.Id || facts.GetVm().GetName() != vm.Name {
				reply.Silent = append(reply.Silent, vm.Name)
				return
			}
			reply.Answered = append(reply.Answered, facts)
		})
	}
	wg.Wait()
	return reply, nil
}

// Events implements Control.
func (h handler) Events(ctx context.Context, r *sparcontrol.EventsRequest) (*sparcontrol.EventsReply, error) {
	return consult(ctx, h.vm, func(vm *VM) *sparcontrol.EventsReply {
		reply := &sparcontrol.EventsReply{Id: r.Id, Vm: vm.file.Name}
		for _, e := range vm.timeline.Since(spartimeline.Stamp(r.Since)) {
			if r.Service == "" || e.Service == "" || e.Service == r.Service {
				reply.Events = append(reply.Events, &sparcontrol.Event{
					At: uint64(e.At), Kind: e.Kind, Service: e.Service, Subject: e.Subject, Count: int64(e.Count),
				})
			}
		}
		for _, listed := range vm.engine.Roster().VMs {
			reply.Vms = append(reply.Vms, sparcontrol.FromVM(listed))
		}
		return reply
	})
}
