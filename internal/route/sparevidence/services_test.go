package sparevidence_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// newServices returns the board of vm-0 among VMs that fill the budget of reports, with one upstream of
// each of some services.
func newServices(services int) *sparevidence.Board {
	b := newBoard(sparevidence.MaxPeers+1, 0)
	var ups []sparevidence.Upstream
	for n := range services {
		ups = append(ups, sparevidence.Upstream{ID: uint64(n + 1), Born: 7, Service: serviceName(n)})
	}
	b.SetUpstreams(ups)
	return b
}

func serviceName(n int) string { return fmt.Sprintf("service-%04d", n) }

// seeAll tells a board of the same at each of some services.
func seeAll(b *sparevidence.Board, now time.Duration, services int, c sparevidence.Counts, load map[string]int) {
	var o sparevidence.Observations
	for n := range services {
		o.Upstreams = append(o.Upstreams, sparevidence.Observation{ID: uint64(n + 1), Counts: c})
		o.Services = append(o.Services, sparevidence.ServiceObservation{Service: serviceName(n), Load: load})
	}
	b.Observe(now, o)
}

// TestServicesTakeTurns covers a VM with load at 12 services: each is told as often as the others.
func TestServicesTakeTurns(t *testing.T) {
	const services, seconds = 12, 60
	b := newServices(services)
	b.SetPressed(true)
	told := map[string]int{}
	for now := time.Minute; now < time.Minute+seconds*time.Second; now += time.Second {
		seeAll(b, now, services, sparevidence.Counts{Opened: 1, Answered: 1}, map[string]int{"north": 3})
		r, _ := b.Compose(now)
		if !r.Partial {
			t.Fatalf("report of %d services, want it to say that there are others", len(r.Services))
		}
		for _, e := range r.Services {
			told[e.Service]++
		}
	}
	least, most := seconds, 0
	for _, n := range told {
		least, most = min(least, n), max(most, n)
	}
	if len(told) < services || most-least > 1 {
		t.Errorf("services were told %v times, want all and each as often", told)
	}
}

// TestFailingServicesComeFirst covers a failure at one of 1,300 services.
func TestFailingServicesComeFirst(t *testing.T) {
	const services = 1300
	b := newServices(services)
	now := time.Minute
	seeAll(b, now, services, sparevidence.Counts{Opened: 1, Answered: 1}, nil)
	b.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: 1000, Counts: sparevidence.Counts{Failed: 1}}}})
	r, _ := b.Compose(now)
	isFailing := func(e sparevidence.ServiceEntry) bool { return e.Service == serviceName(999) }
	if len(r.Upstreams) != 1 || !slices.ContainsFunc(r.Services, isFailing) || r.Partial {
		t.Errorf("%+v, want the service of the upstream that fails, and nothing of note left out", r)
	}
}

// TestUrgentReportsAreSmall covers upstreams that fail one after the other, 100 ms apart: the reports that
// tell of each leave out what the first one has said of the service.
func TestUrgentReportsAreSmall(t *testing.T) {
	b := newServices(1)
	b.SetUpstreams(startedAt(10, 7))
	now := time.Minute
	for n := range 5 {
		now += 100 * time.Millisecond
		b.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: uint64(n + 1), Counts: sparevidence.Counts{Opened: 1, Failed: 1}}}})
		r, due := b.Compose(now)
		if first := n == 0; !due || len(r.Services) == 1 != first || r.Partial == first {
			t.Errorf("report %d: %+v, want the service in the first one alone", n, r)
		}
	}
	now += time.Second
	if r, _ := b.Compose(now); len(r.Services) != 1 || r.Partial {
		t.Errorf("report %+v a second later, want the service", r)
	}
}

// TestPartialReports checks the load of a VM whose reports hold a part of its services.
func TestPartialReports(t *testing.T) {
	b := newServices(3)
	now := time.Minute
	report := func(partial bool, service, requests int) {
		now += 900 * time.Millisecond
		mustReceive(t, b, now, sparevidence.Report{From: vmName(1), Run: 1, Sent: now, Partial: partial, Services: []sparevidence.ServiceEntry{
			{Service: serviceName(service), Load: []sparevidence.DomainLoad{{Domain: "north", Requests: requests}}},
		}})
	}
	wantLoad := func(service, vms int) {
		t.Helper()
		if got := b.Load(serviceName(service), now); got.VMs != vms {
			t.Errorf("load %+v of %s, want that of %d VMs", got, serviceName(service), vms)
		}
	}
	report(true, 0, 4)
	report(true, 1, 4)
	wantLoad(0, 1) // told in the report before
	wantLoad(1, 1)
	wantLoad(2, 0) // not told yet
	report(true, 1, 4)
	report(true, 1, 4)
	wantLoad(0, 0) // told too long ago
	report(false, 1, 4)
	wantLoad(0, 1) // none
}
