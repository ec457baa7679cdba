package sparcookie_test

import (
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

func (f *fixture) domainOf(id uint64) string {
	for _, u := range f.upstreams {
		if u.ID == id {
			return u.Domain
		}
	}
	return ""
}

// openMany opens n flows and returns the number at each upstream. Upstreams for which
// silent returns true do not respond; nil means that all respond.
func (f *fixture) openMany(n int, silent func(id uint64) bool) map[uint64]int {
	got := map[uint64]int{}
	for range n {
		c := f.newClient(bookingAddr)
		if v := c.open(); v.Action != sparcookie.ToUpstream {
			f.t.Fatalf("SYN refused: %v", v.Cause)
		}
		got[c.upstream]++
		if silent == nil || !silent(c.upstream) {
			c.ackHandshake()
		}
		f.wait(10 * time.Millisecond)
	}
	return got
}

func TestOwnDomainFirst(t *testing.T) {
	f := newFixture(t)
	for id, n := range f.openMany(300, nil) {
		if f.domainOf(id) != "north" {
			t.Errorf("%d flows went to upstream %d in another failure domain", n, id)
		}
		if n != 100 {
			t.Errorf("upstream %d got %d of 300 flows, want 100", id, n)
		}
	}
}

func TestOtherDomainsWhereOwnHasNone(t *testing.T) {
	f := newFixture(t)
	for id := range uint64(3) {
		f.edit(id+1, func(u *sparroster.Upstream) { u.Draining = true })
	}
	if got := f.openMany(100, nil); got[4]+got[5] != 100 {
		t.Errorf("flows %v, want all of them at upstreams 4 and 5", got)
	}
}

// TestBurstSpills covers a burst of requests: those beyond the capacity of the own failure
// domain go to other domains before they queue.
func TestBurstSpills(t *testing.T) {
	f := newFixture(t)
	got := map[string]int{}
	for range 600 { // 1,000 requests per second at 6 slots, 20 ms each
		got[f.domainOf(f.requestOf(20*time.Millisecond))]++
		f.wait(time.Millisecond)
	}
	if got["south"] < 120 { // 6 slots serve 300 requests per second, the other four 200
		t.Errorf("flows by failure domain %v, want at least 120 of 600 in the other one", got)
	}
}

func TestDrainingTakesNoNewFlows(t *testing.T) {
	f := newFixture(t)
	f.edit(2, func(u *sparroster.Upstream) { u.Draining = true })
	if got := f.openMany(200, nil); got[2] != 0 {
		t.Errorf("%d new flows at a draining upstream", got[2])
	}
}

// TestSilentUpstream covers a server that stops responding while it is in the roster.
func TestSilentUpstream(t *testing.T) {
	f := newFixture(t)
	silent := func(id uint64) bool { return id == 2 }
	f.openMany(60, nil)
	if got := f.openMany(150, silent); got[2] > 4 { // 1.5 s: SYNs sent before the ejection, and one probe
		t.Errorf("%d of 150 SYNs at a silent upstream, want at most 4", got[2])
	}
}

// TestSilentUpstreamRecovers checks that one successful probe ends the ejection.
func TestSilentUpstreamRecovers(t *testing.T) {
	f := newFixture(t)
	f.openMany(150, func(id uint64) bool { return id == 2 })
	got := f.openMany(600, nil)
	if got[2] < 100 {
		t.Errorf("%d of 600 flows at a recovered upstream, want at least 100", got[2])
	}
}

// TestAllSilent checks that SYNs are still spread over the upstreams if none responds: the
// fault may be at this VM.
func TestAllSilent(t *testing.T) {
	f := newFixture(t)
	all := func(uint64) bool { return true }
	if got := f.openMany(100, all); len(got) < 3 {
		t.Errorf("SYNs %v, want them spread", got)
	}
}

// TestRetransmittedSYNMoves checks that a retransmitted SYN goes to another upstream if the
// first one answers no client.
func TestRetransmittedSYNMoves(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	first := c.upstream
	f.wait(retransmitAfter)
	v := c.open()
	wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Moved)
	if v.ID == first {
		t.Error("the retransmitted SYN went to the silent upstream")
	}
}

// TestRetransmittedSYNStays checks that a retransmitted SYN goes to the same upstream if
// that has answered another client since the first one. Then a packet was lost, and a
// second upstream would also answer the SYN.
func TestRetransmittedSYNStays(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	first := c.upstream
	for other := (*client)(nil); other == nil || other.upstream != first; {
		other = f.newClient(bookingAddr)
		other.open()
		other.ackHandshake()
	}
	f.wait(retransmitAfter)
	v := c.open()
	wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Repeated)
	if v.ID != first {
		t.Errorf("the retransmitted SYN went to %d, want %d", v.ID, first)
	}
}

// TestUnresponsiveUpstream covers a server that this VM cannot reach, whether it has failed
// or other VMs reach it. No flow is reset, and requests also go through other VMs.
func TestUnresponsiveUpstream(t *testing.T) {
	f := newFixture(t)
	var flows []*client
	for len(flows) < 8 {
		c := f.newClient(bookingAddr)
		c.open()
		c.ackHandshake()
		if c.upstream == 1 {
			flows = append(flows, c)
		}
	}
	for _, c := range flows {
		wantVerdict(t, c.request(), sparcookie.ToUpstream, sparcookie.Carried)
	}
	opened := false
	for !opened { // a SYN that upstream 1 does not answer
		c := f.newClient(bookingAddr)
		c.open()
		if opened = c.upstream == 1; !opened {
			c.ackHandshake()
		}
	}
	f.wait(retransmitAfter)
	relays := map[string]bool{}
	for _, c := range flows {
		v := c.request()
		wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Assisted)
		if v.ID != 1 {
			t.Errorf("went to upstream %d", v.ID)
		}
		relays[v.Relay.String()] = true
	}
	if len(relays) < 2 || relays["10.9.0.1:1"] {
		t.Errorf("sent through %v, want several other VMs", relays)
	}
	// A new request goes through another VM without waiting for a retransmission.
	idle := &client{f: f, s: flows[0].s, upstream: 1}
	idle.s.From += 5000
	wantVerdict(t, idle.request(), sparcookie.ToUpstream, sparcookie.Assisted)
}

// TestRetransmitsUseOtherRelays retransmits a request whose upstream answers no client.
func TestRetransmitsUseOtherRelays(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr2)
	c.open()
	c.ackHandshake()
	c.request()
	relays := map[string]bool{}
	for range 4 {
		f.wait(retransmitAfter)
		relays[c.request().Relay.String()] = true
	}
	if len(relays) < 3 {
		t.Errorf("four retransmissions went through %v, want at least three VMs", relays)
	}
}

// TestOneRelayInTheDomain retransmits requests whose upstream answers no client, where only one other VM is
// in its failure domain. The next copy goes through a VM of another domain, and not twice through the same one: two
// copies through one VM say no more of an upstream than one does.
func TestOneRelayInTheDomain(t *testing.T) {
	for n := range uint16(50) {
		f := newFixture(t)
		f.vmDomains = []string{"north", "south", "south", "south"}
		f.apply()
		f.port = 1000 + 701*n // another order of the VMs
		c := f.flowAt(1)
		var relays []string
		for range 4 {
			f.wait(retransmitAfter)
			relays = append(relays, c.request().Relay.String())
		}
		slices.Sort(relays)
		if got := slices.Compact(relays); len(got) != 4 {
			t.Fatalf("four copies went through %v, want four VMs", got)
		}
	}
}

// TestRelayedPackets checks the verdicts on packets received from another VM.
func TestRelayedPackets(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	relayed := c.s
	relayed.Relayed = true
	v := f.forward(relayed)
	wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Relayed)
	if v.ID != c.upstream || v.Relay != 0 {
		t.Errorf("went to %d through %v", v.ID, v.Relay)
	}
	relayed.Kind = sparcookie.SYN
	wantVerdict(t, f.forward(relayed), sparcookie.Drop, sparcookie.UnknownCookie)
	relayed.Kind, relayed.Cookie = sparcookie.Data, 77
	wantVerdict(t, f.forward(relayed), sparcookie.Drop, sparcookie.UnknownCookie)
}

// TestSlowUpstreamKeepsItsFlows retransmits requests to an upstream that answers SYNs: it
// is slow, and its flows stay.
func TestSlowUpstreamKeepsItsFlows(t *testing.T) {
	f := newFixture(t)
	var flows []*client
	for range 30 {
		c := f.newClient(bookingAddr)
		c.open()
		c.ackHandshake()
		c.request()
		flows = append(flows, c)
	}
	f.wait(retransmitAfter)
	for _, c := range flows {
		if v := c.request(); v.Action != sparcookie.ToUpstream {
			t.Fatalf("flow of a slow upstream: %v %v", v.Action, v.Cause)
		}
	}
}

// TestCoincidingRequestsDoNotSpill covers normal load, where some requests coincide by
// chance. A flow placed in another failure domain would depend on the network between the
// domains for the rest of its lifetime, also when a network partition separates them.
func TestCoincidingRequestsDoNotSpill(t *testing.T) {
	f := newFixture(t)
	for range 200 { // 100 requests per second in pairs, a third of the capacity of 6 slots
		for range 2 {
			if domain := f.domainOf(f.requestOf(20 * time.Millisecond)); domain != "north" {
				t.Fatalf("a new flow went to %s", domain)
			}
		}
		f.wait(20 * time.Millisecond)
	}
}

func TestSharesOfServices(t *testing.T) {
	f := newFixture(t)
	f.routes[0].Targets = []sparroster.Target{{Service: booking, Weight: 75}, {Service: receipts, Weight: 25}}
	f.apply()
	got := f.openMany(1000, nil)
	if got[50] < 200 || got[50] > 300 {
		t.Errorf("%d of 1000 flows at the service with a share of 25%%", got[50])
	}
}
