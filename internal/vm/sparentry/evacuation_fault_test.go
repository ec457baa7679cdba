package sparentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// settleTime is how long the tests go on looking after a bound.
const settleTime = time.Second

// wantNoneAfter checks that no upstream of north took a new flow later than the bound, while others
// did until now.
func (f *fleet) wantNoneAfter(since time.Time, bound time.Duration) {
	f.t.Helper()
	if d := time.Until(since.Add(bound + settleTime)); d > 0 {
		time.Sleep(d)
	}
	for _, o := range f.openings("north", since.Add(bound)) {
		f.t.Errorf("VM %s opened a flow in the evacuated domain %v after the request, want %v at most", o.vm, o.at.Sub(since), bound)
	}
	if len(f.openings("south", since.Add(bound))) == 0 {
		f.t.Error("no flows elsewhere")
	}
}

// TestReaderDiesWithAnEvacuation stops the VM that reads the platform as it gets an evacuation, before
// it tells any other.
func TestReaderDiesWithAnEvacuation(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	f.mu.Lock()
	f.fatal = sparfake.EvacuationPrefix + "north"
	f.mu.Unlock()
	since := f.evacuate("north")
	eventually(t, "the reader dies", func() bool { return f.dead() >= 0 })
	for n, v := range f.vms {
		if n != f.dead() {
			within(t, time.Until(since.Add(inForceWithin)), "in force at "+v.file.Name, v.evacuated("north"))
		}
	}
	f.wantNoneAfter(since, inForceWithin)
}

// TestEvacuationDuringStarts starts VMs while an evacuation spreads, with and without the platform.
func TestEvacuationDuringStarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2)
	seed := f.vms[0].file.Control
	var started []*vm
	since := time.Now()
	for n := range 6 {
		if n == 2 {
			since = f.evacuate("north")
		}
		started = append(started, f.start(n%2 == 0, seed))
		time.Sleep(30 * time.Millisecond)
	}
	for _, v := range started {
		within(t, time.Until(since.Add(inForceWithin)), "in force at "+v.file.Name, v.evacuated("north"))
	}
	f.wantNoneAfter(since, inForceWithin)
}

// TestReaderCutOffAtTheEnd cuts the reader off from the platform as an evacuation ends. All VMs must
// learn of the end within the bound, the reader through the others.
func TestReaderCutOffAtTheEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	since := f.evacuate("north")
	for _, v := range f.vms {
		within(t, inForceWithin, "in force", v.evacuated("north"))
	}
	f.wantNoneAfter(since, inForceWithin)
	f.refuse(f.reader(), true)
	f.takeBack("north")
	since = time.Now()
	for _, v := range f.vms {
		within(t, time.Until(since.Add(inForceWithin)), "ended at "+v.file.Name, v.evacuated())
	}
	eventually(t, "flows in north again, through each VM", func() bool {
		through := map[string]bool{}
		for _, o := range f.openings("north", since) {
			through[o.vm] = true
		}
		return len(through) == len(f.vms)
	})
}

// TestEvacuationWhileHalfIsRefused evacuates a domain while the platform refuses half of the VMs, the
// reader among them.
func TestEvacuationWhileHalfIsRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4)
	reader := f.reader()
	f.refuse(reader, true)
	f.refuse((reader+1)%4, true)
	since := f.evacuate("north")
	for _, v := range f.vms {
		within(t, time.Until(since.Add(inForceWithin)), "in force at "+v.file.Name, v.evacuated("north"))
	}
	f.wantNoneAfter(since, inForceWithin)
}

// TestEvacuationAndColdReturn evacuates a domain whose upstreams have just come back cold, and takes
// it back before they are warm. No second has more openings than their limit, over all VMs, and
// there are some in the end.
func TestEvacuationAndColdReturn(t *testing.T) {
	t.Parallel()
	const limit = 5 // 2 a second x 1.5 + 2
	bound := 800 * time.Millisecond
	f := newFleet(t, 3, func(c *sparconfig.File) { c.Evacuate, c.Overage, c.Slack = 800, 1.5, 2 })
	f.fake.Put(sparfake.RoutingKey, sparfake.Document{
		Version: 4, Routes: []sparfake.Route{{At: serviceAddr, Service: "booking"}},
		Services: []sparfake.Service{{Name: "booking", WarmRate: 2}},
	}.Text())
	for _, v := range f.vms {
		eventually(t, "the warm rate is in force", v.version(4))
	}
	began := time.Now()
	cold := f.upstream(3, "north", time.Minute)
	f.fake.Remove(f.north)
	since := f.evacuate("north")
	f.wantNoneAfter(since, max(bound, inForceWithin))
	f.takeBack("north")
	back := time.Now()
	eventually(t, "openings at the cold upstream", func() bool { return len(f.openingsAt(cold, back)) > 2*limit })
	list := f.openingsAt(cold, began)
	for i, first := range list {
		n := 0
		for _, o := range list[i:] {
			if o.at.Sub(first.sent) <= time.Second {
				n++
			}
		}
		if n > limit {
			t.Errorf("%d openings in the second from %v after the return, limit %d", n, fmt.Sprint(first.sent.Sub(began)), limit)
		}
	}
}
