package sparcontrol

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// SurveyTimeout is the timeout of a survey, so that a status query returns within a second.
const SurveyTimeout = 600 * time.Millisecond

// Dial returns a client for the VM at a control address. It doesn't connect yet.
func Dial(control string, client HTTPClient) Control {
	return NewControlProtobufClient("http://"+control, client)
}

// QueryAll queries the facts of vms and adds them to own, those of this VM. A VM is listed
// as silent if no response with the ID and VM name of the query arrives in time.
func QueryAll(ctx context.Context, own *FactsReply, vms []sparconfig.VM, client *http.Client) *SurveyReply {
	ctx, cancel := context.WithTimeout(ctx, SurveyTimeout)
	defer cancel()
	reply := &SurveyReply{Id: own.Id, Answered: []*FactsReply{own}}
	var mu sync.Mutex
	var wg conc.WaitGroup
	for _, vm := range vms {
		wg.Go(func() {
			facts, err := Dial(vm.Control, client).Facts(ctx, &FactsRequest{Id: own.Id})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || facts.Id != own.Id || facts.GetVm().GetName() != vm.Name {
				reply.Silent = append(reply.Silent, vm.Name)
				return
			}
			reply.Answered = append(reply.Answered, facts)
		})
	}
	wg.Wait()
	return reply
}

// NewEventsReply returns the reply to r of the VM called vm: those of events that match the
// requested service or belong to no service, and the other VMs to query.
func NewEventsReply(r *EventsRequest, vm string, events []spartimeline.Event, others []sparconfig.VM) *EventsReply {
	reply := &EventsReply{Id: r.Id, Vm: vm}
	for _, e := range events {
		if r.Service == "" || e.Service == "" || e.Service == r.Service {
			reply.Events = append(reply.Events, &Event{
				At: uint64(e.At), Kind: e.Kind, Service: e.Service, Subject: e.Subject, Count: int64(e.Count),
			})
		}
	}
	for _, other := range others {
		reply.Vms = append(reply.Vms, FromVM(other))
	}
	return reply
}
