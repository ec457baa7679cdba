package sparadmit_test

import (
	"testing"
	"time"
)

// TestOneRoute covers the overload of a service with one route only: it is served as far as its
// slots allow.
func TestOneRoute(t *testing.T) {
	p := busyPool(lookups)
	p.run(time.Second, 10)
	p.takeResults()
	p.run(5*time.Second, 10) // 74 of 60 slots
	r := p.takeResults()
	wantAtLeast(t, "requests in time", r[0].inTimeShare(), 0.75) // 0.81 of them have a slot
	wantAtMost(t, "tries turned away", r[0].turnedAwayShare(), 0.1)
}

// TestEqualPriorities covers an overload by two kinds of one priority: each is refused in
// proportion to its demand.
func TestEqualPriorities(t *testing.T) {
	orders := orders
	orders.priority = later
	p := busyPool(lookups, orders)
	p.run(time.Second, 6)
	p.takeResults()
	p.run(5*time.Second, 6)
	r := p.takeResults()
	wantAtMost(t, "difference of the shares in time", r[1].inTimeShare()-r[0].inTimeShare(), 0.1)
	wantAtMost(t, "difference of the shares in time", r[0].inTimeShare()-r[1].inTimeShare(), 0.1)
}

// TestOpenFlows covers an overload by requests on flows that are open: they are never refused, and
// new flows make room for them.
func TestOpenFlows(t *testing.T) {
	orders := orders
	orders.long = true
	p := busyPool(lookups, orders)
	p.run(time.Second, 6)
	p.takeResults()
	p.run(5*time.Second, 6)
	r := p.takeResults()
	if r[1].refusals > 0 {
		t.Errorf("%d requests of open flows refused", r[1].refusals)
	}
	wantAtLeast(t, "requests of open flows in time", r[1].inTimeShare(), 0.95)
}

// TestRetriesAfterFirstTries covers an overload at one VM, where it can be told which flows
// follow a refusal: they are refused more often than first tries.
func TestRetriesAfterFirstTries(t *testing.T) {
	p := newPool(1, 30, lookups)
	p.run(8*time.Second, 1)
	p.run(2*time.Second, 10)
	p.takeResults()
	p.run(5*time.Second, 10)
	r := p.takeResults()[0]
	retries := float64(r.refusedRetries) / float64(r.retries)
	first := float64(r.refusals-r.refusedRetries) / float64(r.requests)
	wantAtLeast(t, "refused retries less refused first tries", retries-first, 0.1)
	wantAtMost(t, "refused retries", retries, 0.95)
}
