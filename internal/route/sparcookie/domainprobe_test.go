package sparcookie_test

import (
	"testing"
	"time"
)

// TestProbesOfTwoServices covers a failure domain with two services that fails as a whole, while one of
// them gets many new flows and the other one a flow each 1.5 s: the quiet one probes its own upstreams.
func TestProbesOfTwoServices(t *testing.T) {
	f := newDomains(t, "north", "east")
	for i := range f.upstreams {
		if f.upstreams[i].ID%10 == 0 {
			f.upstreams[i].Service = receipts
		}
	}
	f.apply()
	f.serve(2*time.Second, only("north"))
	waited := 0
	for waited = 0; waited < 8; waited++ {
		f.serve(1500*time.Millisecond, only("north")) // of the busy service
		c := f.newClient(receiptsAddr)
		if c.open(); f.domainOf(c.upstream) == "north" {
			break
		}
		c.finish()
	}
	if waited > 1 {
		t.Errorf("%d flows of the quiet service went to the other domain before one probed its own", waited)
	}
}

// TestHedgeLeavesSuspectDomain covers a hedge while a failure domain is suspect, after a flow of a service
// that has no other one: for that service suspicion counts for nothing, but it does for the hedge.
func TestHedgeLeavesSuspectDomain(t *testing.T) {
	f := newDomains(t, "north", "east")
	for i := range f.upstreams[:domainUpstreams] {
		if i%10 == 0 {
			f.upstreams[i].Service = receipts
		}
	}
	f.routes[0].Repeatable = true
	f.apply()
	f.engine.SetHedge(hedgeShare)
	f.openQuickly(60)
	f.serve(1500*time.Millisecond, only("north"))
	f.engine.DueHedges()
	c := f.newClient(bookingAddr)
	if c.open(); f.domainOf(c.upstream) != "east" {
		t.Fatalf("first SYN sent to %s", f.domainOf(c.upstream))
	}
	f.newClient(receiptsAddr).open()
	f.wait(hedgeDelay)
	for _, h := range f.engine.DueHedges() {
		if h.From == c.s.From && f.domainOf(h.ID) != "east" {
			t.Errorf("hedge sent to %s, which is suspect", f.domainOf(h.ID))
		}
	}
	if got := f.engine.HedgeStats(); got.Sent == 0 {
		t.Errorf("%+v, want a hedge", got)
	}
}
