// Package sparevents reads the timelines of all VMs and merges them into one.
//
//	t := sparevents.Read(ctx, controls, since, "")
//	for _, e := range t.Events { ... }
//	// t.Silent lists the VMs that didn't respond, whose events are missing
package sparevents

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
)

// Timeout limits each of the two rounds of queries of Read.
const Timeout = 900 * time.Millisecond

// Timeline is the merged timeline of the VMs that responded.
type Timeline struct {
	Events   []spartimeline.Event
	Answered []string
	Silent   []string
}

// Read queries the events since a time from the VMs at the control addresses, and then
// from the other VMs that their replies list. A service limits them to its events and
// those of VMs.
func Read(ctx context.Context, controls []string, since time.Time, service string) Timeline {
	first := query(ctx, controls, since, service)
	names := map[string]string{}
	for _, reply := range first {
		for _, vm := range reply.Vms {
			names[vm.Control] = vm.Name
		}
	}
	var more []string
	for control := range names {
		if !slices.Contains(controls, control) {
			more = append(more, control)
		}
	}
	return merge(append(first, query(ctx, more, since, service)...), names)
}

// query returns the replies of the VMs that respond in time.
func query(ctx context.Context, controls []string, since time.Time, service string) []*sparcontrol.EventsReply {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	var mu sync.Mutex
	var replies []*sparcontrol.EventsReply
	var wg conc.WaitGroup
	for _, control := range controls {
		wg.Go(func() {
			client := sparcontrol.NewControlProtobufClient("http://"+control, &http.Client{})
			request := &sparcontrol.EventsRequest{
				Id: control, Since: uint64(spartimeline.At(since)), Service: service,
			}
			reply, err := client.Events(ctx, request)
			if err != nil || reply.Id != control {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// merge merges the events of replies, whose VMs may be repeated. names maps the control
// address of each known VM to its name.
func merge(replies []*sparcontrol.EventsReply, names map[string]string) Timeline {
	var t Timeline
	var lists [][]spartimeline.Event
	for _, reply := range replies {
		if slices.Contains(t.Answered, reply.Vm) {
			continue
		}
		t.Answered = append(t.Answered, reply.Vm)
		var events []spartimeline.Event
		for _, e := range reply.Events {
			events = append(events, spartimeline.Event{
				At: spartimeline.Stamp(e.At), VM: reply.Vm, Kind: e.Kind,
				Service: e.Service, Subject: e.Subject, Count: int(e.Count),
			})
		}
		lists = append(lists, events)
	}
	for _, name := range names {
		if !slices.Contains(t.Answered, name) {
			t.Silent = append(t.Silent, name)
		}
	}
	slices.Sort(t.Answered)
	slices.Sort(t.Silent)
	t.Events = spartimeline.Merge(lists...)
	return t
}
