package sparcookie_test

import (
	"slices"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// evacuate puts the evacuation of the domains in force, and ends that of all others.
func (f *fixture) evacuate(domains ...string) {
	f.evacuated = domains
	f.apply()
}

func TestEvacuatedDomainTakesNoNewFlows(t *testing.T) {
	f := newFixture(t)
	f.evacuate("north")
	if got := f.openMany(100, nil); got[4]+got[5] != 100 {
		t.Errorf("flows %v, want all of them at upstreams 4 and 5", got)
	}
	f.evacuate()
	if got := f.openMany(100, nil); got[4]+got[5] != 0 {
		t.Errorf("flows %v after the end of the evacuation, want them in the own domain", got)
	}
}

// TestEvacuationKeepsOpenFlows checks that an open flow is neither reset nor moved: its upstream
// still runs.
func TestEvacuationKeepsOpenFlows(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	c.ackHandshake()
	f.evacuate("north")
	if v := c.request(); v.Action != sparcookie.ToUpstream || v.ID != c.upstream {
		t.Errorf("%v to %d, want it carried to %d", v.Cause, v.ID, c.upstream)
	}
}

// TestEvacuatedFlowsAreCounted counts the open flows that are left, for the operator.
func TestEvacuatedFlowsAreCounted(t *testing.T) {
	f := newFixture(t)
	clients := []*client{f.newClient(bookingAddr), f.newClient(bookingAddr), f.newClient(bookingAddr)}
	for _, c := range clients {
		c.open()
		c.ackHandshake()
	}
	if got := f.engine.EvacuatedFlows("north"); got != 0 {
		t.Errorf("%d flows counted without an evacuation", got)
	}
	f.evacuate("north")
	if got, other := f.engine.EvacuatedFlows("north"), f.engine.EvacuatedFlows("south"); got != len(clients) || other != 0 {
		t.Errorf("%d and %d flows counted, want %d and 0", got, other, len(clients))
	}
	end := clients[0].s
	end.Kind = sparcookie.FIN
	f.forward(end)
	if got := f.engine.EvacuatedFlows("north"); got != len(clients)-1 {
		t.Errorf("%d flows counted after one has ended", got)
	}
}

// TestRetransmittedSYNLeavesEvacuatedDomain covers an evacuation between a SYN and its copy. A
// copy would open the flow after the evacuation has come into force.
func TestRetransmittedSYNLeavesEvacuatedDomain(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	first := c.upstream
	f.evacuate("north")
	if v := c.open(); v.Action != sparcookie.ToUpstream || f.domainOf(v.ID) != "south" {
		t.Errorf("%v to %d after %d, want an upstream of the other domain", v.Cause, v.ID, first)
	}
	f.evacuate("north", "south")
	wantVerdict(t, c.open(), sparcookie.Reset, sparcookie.NoUpstream)
}

// TestAllDomainsEvacuated checks that the operator's word holds also where nothing is left: new
// flows are refused at once.
func TestAllDomainsEvacuated(t *testing.T) {
	f := newFixture(t)
	f.evacuate("north", "south")
	wantVerdict(t, f.newClient(bookingAddr).open(), sparcookie.Reset, sparcookie.NoUpstream)
}

// TestEvacuationOfUnusableEntry evacuates the domain of an upstream whose entry another writer
// has damaged, and then repairs the entry.
func TestEvacuationOfUnusableEntry(t *testing.T) {
	f := newFixture(t)
	f.unusable = []uint64{1, 2, 3}
	kept := f.upstreams
	f.upstreams = slices.DeleteFunc(slices.Clone(kept), func(u sparroster.Upstream) bool { return u.ID <= 3 })
	f.evacuate("north")
	f.upstreams, f.unusable = kept, nil
	f.apply()
	if got := f.openMany(50, nil); got[4]+got[5] != 50 {
		t.Errorf("flows %v, want all of them at upstreams 4 and 5", got)
	}
}
