package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

const (
	hedgeShare = 0.1
	hedgeDelay = 40 * time.Millisecond // more than openings of rtt lead to, less than shows silence
)

// newHedgingFixture returns a fixture that hedges the openings of bookingAddr, which may be
// repeated, and has seen enough openings of rtt for that.
func newHedgingFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.routes[0].Repeatable = true
	f.apply()
	f.engine.SetHedge(hedgeShare)
	f.openQuickly(60)
	f.wait(hedgeDelay)
	f.engine.DueHedges()
	return f
}

// openQuickly opens flows one after the other, each within rtt.
func (f *fixture) openQuickly(n int) {
	for range n {
		c := f.newClient(bookingAddr)
		c.open()
		c.ackHandshake()
	}
}

// hedgeOf sends the SYN of a flow to an upstream that does not answer within hedgeDelay, and returns
// the hedge of it.
func (f *fixture) hedgeOf(c *client) sparcookie.Hedge {
	f.t.Helper()
	first := c.open()
	wantVerdict(f.t, first, sparcookie.ToUpstream, sparcookie.Placed)
	f.wait(hedgeDelay)
	due := f.engine.DueHedges()
	if len(due) != 1 {
		f.t.Fatalf("%d hedges, want 1; %+v", len(due), f.engine.HedgeStats())
	}
	h := due[0]
	if h.First.ID != first.ID || h.ID == first.ID || h.Cookie == first.Cookie || h.Slot != first.Awaits-1 || h.From != c.s.From || h.To != c.s.To {
		f.t.Fatalf("hedge %+v of %+v", h, first)
	}
	wantVerdict(f.t, h.Verdict, sparcookie.ToUpstream, sparcookie.Hedged)
	return h
}

// takes makes c take the SYN-ACK of the upstream with the cookie and forwards its next packet.
func (c *client) takes(cookie sparcookie.Cookie) sparcookie.Verdict {
	c.s.Cookie = cookie
	return c.ackHandshake()
}

// TestClientTakesAnswerToHedge: the second upstream answers first. The flow stays there, the answer counts with
// the time since the first SYN, and the first upstream is not blamed.
func TestClientTakesAnswerToHedge(t *testing.T) {
	f := newHedgingFixture(t)
	c := f.newClient(bookingAddr)
	h := f.hedgeOf(c)
	v := c.takes(h.Cookie)
	if wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Carried); v.ID != h.ID || !v.First || v.Waited != hedgeDelay+rtt {
		t.Errorf("verdict %+v, want the first answer of %d after %v", v, h.ID, hedgeDelay+rtt)
	}
	if v := c.request(); v.ID != h.ID {
		t.Errorf("request sent to %d, want %d", v.ID, h.ID)
	}
	f.wait(time.Second)
	f.openQuickly(1)
	f.wantHealthy(5)
	if got := f.engine.HedgeStats(); got.Sent != 1 || got.Won != 1 {
		t.Errorf("%+v, want one hedge that has won", got)
	}
}

// TestClientTakesAnswerOfFirstUpstream: the first upstream answers after all. The flow stays there, and the second one,
// whose SYN-ACK the client drops, is not blamed.
func TestClientTakesAnswerOfFirstUpstream(t *testing.T) {
	f := newHedgingFixture(t)
	c := f.newClient(bookingAddr)
	first := c.open()
	f.wait(hedgeDelay)
	if due := f.engine.DueHedges(); len(due) != 1 {
		t.Fatalf("%d hedges, want 1", len(due))
	}
	if v := c.takes(first.Cookie); v.ID != first.ID || !v.First {
		t.Errorf("verdict %+v, want the first answer of %d", v, first.ID)
	}
	f.wait(time.Second)
	f.openQuickly(1)
	f.wantHealthy(5)
	if got := f.engine.HedgeStats(); got.Sent != 1 || got.Won != 0 {
		t.Errorf("%+v, want one hedge that has lost", got)
	}
}

// wantHealthy fails unless n upstreams of booking accept flows.
func (f *fixture) wantHealthy(n int) {
	f.t.Helper()
	healthy := 0
	for _, s := range f.engine.UpstreamStates() {
		if s.Upstream.Service == booking && s.Healthy {
			healthy++
		}
	}
	if healthy != n {
		f.t.Errorf("%d upstreams accept flows, want %d", healthy, n)
	}
}

// TestLoserAnswersLate: the SYN-ACK of the upstream that lost reaches the client as well, and the
// client puts its cookie into the packets that follow. They must reach the upstream that has the flow,
// which sends its own cookie again.
func TestLoserAnswersLate(t *testing.T) {
	for _, secondWins := range []bool{true, false} {
		f := newHedgingFixture(t)
		c := f.newClient(bookingAddr)
		h := f.hedgeOf(c)
		winner, loser := h.Cookie, c.s.Cookie
		if !secondWins {
			winner, loser = loser, winner
		}
		opened := c.takes(winner)
		c.s.Cookie = loser
		if v := c.request(); v.ID != opened.ID || v.Cookie != winner {
			t.Errorf("second wins %v: request with the cookie of the other upstream sent to %d, want %d", secondWins, v.ID, opened.ID)
		}
		if v := c.ackResponse(); v.ID != opened.ID || !v.Answered {
			t.Errorf("second wins %v: then sent to %d, answered %v", secondWins, v.ID, v.Answered)
		}
	}
}

// TestSilentUpstreamIsNoticed: an upstream loses each race since it is down. It must still be
// ejected, after two, so that hedges do not hide it.
func TestSilentUpstreamIsNoticed(t *testing.T) {
	f := newHedgingFixture(t)
	silent, openings := uint64(0), 0
	for range 60 {
		c := f.newClient(bookingAddr)
		v := c.open()
		if silent == 0 {
			silent = v.ID
		}
		if v.ID != silent {
			c.ackHandshake()
			continue
		}
		openings++
		f.wait(hedgeDelay)
		due := f.engine.DueHedges()
		if len(due) == 0 {
			t.Fatalf("opening %d at the silent upstream is not hedged: %+v", openings, f.engine.HedgeStats())
		}
		c.takes(due[0].Cookie)
	}
	if openings != 2 {
		t.Errorf("%d openings at a silent upstream, want 2", openings)
	}
	f.wantHealthy(4)
}

// TestSlowUpstreamIsKept: an upstream loses a race now and then but answers other clients between.
func TestSlowUpstreamIsKept(t *testing.T) {
	f := newHedgingFixture(t)
	for range 10 {
		c := f.newClient(bookingAddr)
		c.takes(f.hedgeOf(c).Cookie)
		f.openQuickly(30)
	}
	f.wantHealthy(5)
}

// TestCopyTakesThePlaceOfAHedge: the client sends its SYN again before the hedge is due, as if this
// VM had been paused. Then nothing is sent beside the copy.
func TestCopyTakesThePlaceOfAHedge(t *testing.T) {
	f := newHedgingFixture(t)
	for _, after := range []time.Duration{rtt, retransmitAfter} {
		c := f.newClient(bookingAddr)
		c.open()
		f.wait(after)
		c.open()
		f.wait(hedgeDelay)
		if due := f.engine.DueHedges(); len(due) > 0 {
			t.Errorf("hedges %+v beside a copy after %v", due, after)
		}
	}
	c := f.newClient(bookingAddr)
	c.open()
	f.wait(retransmitAfter)
	if due := f.engine.DueHedges(); len(due) > 0 {
		t.Errorf("hedges %+v where the copy is about to come", due)
	}
}

// TestCopyAfterAHedge: neither upstream has answered, so the copy goes to a third one, and both count as
// silent, each once.
func TestCopyAfterAHedge(t *testing.T) {
	f := newHedgingFixture(t)
	c := f.newClient(bookingAddr)
	h := f.hedgeOf(c)
	first := c.upstream
	f.wait(retransmitAfter - hedgeDelay)
	v := c.open()
	wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Moved)
	if v.ID == first || v.ID == h.ID {
		t.Errorf("copy sent to %d after %d and %d", v.ID, first, h.ID)
	}
	c.ackHandshake()
	f.wantHealthy(3)
	f.openQuickly(20)
	f.wantHealthy(3)
}

// TestAllUpstreamsSilent: nobody answers any more. Clients are sent on, within the limit, and no
// flow is refused.
func TestAllUpstreamsSilent(t *testing.T) {
	f := newHedgingFixture(t)
	for range 30 {
		c := f.newClient(bookingAddr)
		wantVerdict(t, c.open(), sparcookie.ToUpstream, sparcookie.Placed)
		f.wait(hedgeDelay)
		f.engine.DueHedges()
		f.wait(retransmitAfter - hedgeDelay)
		if v := c.open(); v.Action != sparcookie.ToUpstream {
			t.Fatalf("%v of a copy", v.Cause)
		}
	}
}

// TestHedgeLeavesDomainOnlyIfItFails: a hedge stays in the domain of the first upstream, unless half of the domain's
// upstreams are silent, which may be the domain's fault.
func TestHedgeLeavesDomainOnlyIfItFails(t *testing.T) {
	f := newHedgingFixture(t)
	if h := f.hedgeOf(f.newClient(bookingAddr)); f.domainOf(h.ID) != "north" {
		t.Errorf("hedge of a healthy domain goes to %d", h.ID)
	}
	f.upstreams = append(f.upstreams, newUpstream(6, "north"), newUpstream(7, "north"))
	f.apply()
	silent := func(id uint64) bool { return id == 1 || id == 2 || id == 6 }
	for range 60 {
		c := f.newClient(bookingAddr2)
		if v := c.open(); !silent(v.ID) {
			c.ackHandshake()
			continue
		}
		f.wait(2 * hedgeDelay)
	}
	c := f.newClient(bookingAddr)
	for c.open(); f.domainOf(c.upstream) != "north"; c.open() {
		c.ackHandshake()
		c = f.newClient(bookingAddr)
	}
	f.wait(hedgeDelay)
	due := f.engine.DueHedges()
	if len(due) != 1 || f.domainOf(due[0].ID) != "south" {
		t.Errorf("hedges of an opening at %d: %+v, want one to another domain", c.upstream, due)
	}
}

// TestHedgeFollowsSettings guards against a hedge at another upstream of a service that the route has left
// since the SYN.
func TestHedgeFollowsSettings(t *testing.T) {
	f := newHedgingFixture(t)
	f.newClient(bookingAddr).open()
	f.routes[0].Targets[0].Service = receipts
	f.apply()
	f.wait(hedgeDelay)
	if due := f.engine.DueHedges(); len(due) != 0 {
		t.Errorf("hedged: %+v", due)
	}
}
