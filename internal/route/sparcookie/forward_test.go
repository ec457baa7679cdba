package sparcookie_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

func TestAnyVMForwardsAnyFlow(t *testing.T) {
	first, second := newFixture(t), newFixture(t)
	for range 200 {
		c := first.newClient(bookingAddr)
		c.open()
		other := &client{f: second, s: c.s, upstream: c.upstream}
		if v := other.ackHandshake(); v.Action != sparcookie.ToUpstream || v.ID != c.upstream {
			t.Fatalf("verdict %+v for a flow at upstream %d", v, c.upstream)
		}
	}
}

func TestSettingsMoveNoFlow(t *testing.T) {
	changes := []struct {
		name   string
		change func(f *fixture, c *client)
	}{
		{"upstream drains", func(f *fixture, c *client) {
			f.edit(c.upstream, func(u *sparroster.Upstream) { u.Draining = true })
		}},
		{"upstream is removed", func(f *fixture, c *client) { f.remove(c.upstream) }},
		{"upstreams are added", func(f *fixture, _ *client) {
			f.upstreams = append(f.upstreams, newUpstream(7, "north"), newUpstream(8, "north"))
			f.apply()
		}},
		{"route names another service", func(f *fixture, _ *client) {
			f.routes[0].Targets = []sparroster.Target{{Service: receipts, Weight: 1}}
			f.apply()
		}},
		{"service has no weight any more", func(f *fixture, _ *client) {
			f.routes[0].Targets = []sparroster.Target{{Service: booking}, {Service: receipts, Weight: 1}}
			f.apply()
		}},
	}
	for _, c := range changes {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			flow := f.newClient(bookingAddr)
			flow.open()
			flow.ackHandshake()
			c.change(f, flow)
			f.wait(time.Second)
			v := flow.request()
			wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Carried)
			if v.ID != flow.upstream {
				t.Errorf("moved from %d to %d", flow.upstream, v.ID)
			}
		})
	}
}

// TestRestartedVMForwardsFlowsOfEarlierRoutes covers a rolling restart after a route has
// changed its service: a VM that knows only the new service must not drop flows of the
// old one.
func TestRestartedVMForwardsFlowsOfEarlierRoutes(t *testing.T) {
	running, restarted := newFixture(t), newFixture(t)
	c := running.newClient(bookingAddr)
	c.open()
	restarted.routes[0].Targets = []sparroster.Target{{Service: receipts, Weight: 1}}
	restarted = &fixture{t: t, engine: sparcookie.New("vm-1", "north", 100), now: time.Second, upstreams: restarted.upstreams, routes: restarted.routes}
	restarted.apply()
	other := &client{f: restarted, s: c.s}
	wantVerdict(t, other.ackHandshake(), sparcookie.ToUpstream, sparcookie.Carried)
	restarted.wait(sparcookie.MaxFlowAge)
	wantVerdict(t, other.request(), sparcookie.Drop, sparcookie.WrongService)
}

func TestUnknownCookieIsDropped(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.s.Cookie = 12345
	wantVerdict(t, c.ackHandshake(), sparcookie.Drop, sparcookie.UnknownCookie)
	c.s.Cookie = 0
	wantVerdict(t, c.request(), sparcookie.Drop, sparcookie.UnknownCookie)
}

func TestRefusals(t *testing.T) {
	f := newFixture(t)
	wantVerdict(t, f.newClient(unroutedAddr).open(), sparcookie.Reset, sparcookie.NoRoute)
	f.engine.SetFresh(false)
	wantVerdict(t, f.newClient(unroutedAddr).open(), sparcookie.Drop, sparcookie.NotFresh)
	f.engine.SetFresh(true)
	for id := range uint64(5) {
		f.edit(id+1, func(u *sparroster.Upstream) { u.Draining = true })
	}
	wantVerdict(t, f.newClient(bookingAddr).open(), sparcookie.Reset, sparcookie.NoUpstream)
	wantVerdict(t, f.newClient(receiptsAddr).open(), sparcookie.ToUpstream, sparcookie.Placed)
}

func TestDroppedRouteEndsItsFlows(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow()
	f.routes = f.routes[1:]
	f.apply()
	f.engine.SetFresh(false)
	wantVerdict(t, c.request(), sparcookie.ToUpstream, sparcookie.Carried)
	f.engine.SetFresh(true)
	wantVerdict(t, c.request(), sparcookie.Reset, sparcookie.RouteDropped)
}

// TestRemovedUpstream covers servers that stop. A client without a response is reset at
// once if the upstream drained before, otherwise after requests through two other VMs. A
// flow that gets responses stays.
func TestRemovedUpstream(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned %v", planned), func(t *testing.T) {
			f := newFixture(t)
			c := f.openFlow()
			f.edit(c.upstream, func(u *sparroster.Upstream) { u.Draining = planned })
			f.remove(c.upstream)
			wantVerdict(t, c.request(), sparcookie.ToUpstream, sparcookie.Carried)
			f.wait(rtt)
			c.ackResponse()
			wantVerdict(t, c.request(), sparcookie.ToUpstream, sparcookie.Carried)
			for range 2 {
				f.wait(retransmitAfter)
				if !planned {
					wantVerdict(t, c.request(), sparcookie.ToUpstream, sparcookie.Assisted)
				}
			}
			f.wait(retransmitAfter)
			wantVerdict(t, c.request(), sparcookie.Reset, sparcookie.UpstreamGone)
		})
	}
}

func TestReorderedPacketIsNoRetransmit(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow()
	second := c.s
	second.Seq, second.Size = c.s.Seq+100, 50
	f.forward(second)
	if v := c.request(); v.Unanswered {
		t.Error("a reordered packet counts as a retransmission")
	}
}

func TestRestartedUpstreamKeepsItsCookie(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	f.edit(c.upstream, func(u *sparroster.Upstream) { u.Born += 1000 })
	if v := c.ackHandshake(); v.ID != c.upstream {
		t.Errorf("flow of a restarted upstream went to %d, want %d", v.ID, c.upstream)
	}
}

// TestSharedCookie checks that VMs assign the same cookies to two upstreams with the same
// first cookie, whichever upstream they learn of first.
func TestSharedCookie(t *testing.T) {
	a, b := sharedCookie()
	t.Logf("upstreams %d and %d", a, b)
	orders := [][]uint64{{a, b}, {b, a}}
	var got []string
	for _, order := range orders {
		f := &fixture{t: t, engine: sparcookie.New("vm-1", "north", 100), now: time.Second, port: 1000}
		f.routes = []sparroster.Route{{Address: bookingAddr, Targets: []sparroster.Target{{Service: booking, Weight: 1}}}}
		for _, id := range order {
			f.upstreams = append(f.upstreams, newUpstream(id, "north"))
			f.apply()
		}
		cookies := map[uint64]sparcookie.Cookie{}
		for range 50 {
			c := f.newClient(bookingAddr)
			c.open()
			cookies[c.upstream] = c.s.Cookie
			if v := c.ackHandshake(); v.ID != c.upstream {
				t.Fatalf("flow at %d went to %d", c.upstream, v.ID)
			}
		}
		if len(cookies) != 2 || cookies[a] == cookies[b] {
			t.Fatalf("cookies %v, want one for each upstream", cookies)
		}
		got = append(got, fmt.Sprint(cookies[a], cookies[b]))
	}
	if got[0] != got[1] {
		t.Errorf("cookies %s and %s, want the same in either order", got[0], got[1])
	}
}

// sharedCookie returns two IDs with the same first cookie.
func sharedCookie() (a, b uint64) {
	seen := map[sparcookie.Cookie]uint64{}
	for id := uint64(1); ; id++ {
		c := sparcookie.FirstCookie(id)
		if other, ok := seen[c]; ok {
			return other, id
		}
		seen[c] = id
	}
}

func TestRecordsAreBounded(t *testing.T) {
	f := &fixture{t: t, engine: sparcookie.New("vm-1", "north", 100), now: time.Second, port: 1000}
	full := newFixture(t)
	f.upstreams, f.routes = full.upstreams, full.routes
	f.apply()
	for range 1000 {
		f.openFlow()
	}
	if n := f.engine.Flows(); n > 100 {
		t.Errorf("%d flows on record, want at most 100", n)
	}
	for range 50 { // flows that are not on record end
		c := f.newClient(bookingAddr)
		c.open()
		c.s.Kind = sparcookie.FIN
		c.ackHandshake()
	}
	for _, state := range f.engine.UpstreamStates() {
		if state.Flows < 0 {
			t.Errorf("%d flows at upstream %d", state.Flows, state.Upstream.ID)
		}
	}
	f.wait(20 * time.Second)
	if n := f.engine.Flows(); n != 0 {
		t.Errorf("%d flows on record after their idle time", n)
	}
}

func TestMidFlowAllocatesNothing(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow()
	s := c.s
	if n := testing.AllocsPerRun(1000, func() { f.engine.Forward(s) }); n != 0 {
		t.Errorf("%v allocations for a packet in a flow", n)
	}
}

// BenchmarkProgress acknowledges the packets of long responses on 9,000 flows, each in turn.
func BenchmarkProgress(b *testing.B) {
	f := newFixture(&testing.T{})
	var segments []sparcookie.Segment
	for range 9_000 {
		c := f.openFlow()
		segments = append(segments, c.s)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		s := &segments[i%len(segments)]
		s.Ack += 1200
		f.engine.Forward(*s)
	}
}

// BenchmarkForward forwards packets of 9,000 open flows, each in turn.
func BenchmarkForward(b *testing.B) {
	f := newFixture(&testing.T{})
	var segments []sparcookie.Segment
	for range 9_000 {
		c := f.openFlow()
		segments = append(segments, c.s)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		f.engine.Forward(segments[i%len(segments)])
	}
}
