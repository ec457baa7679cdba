package sparcookie_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

func TestAnyVMCarriesAnyFlow(t *testing.T) {
	first, second := newFixture(t), newFixture(t)
	for range 200 {
		c := first.caller(watch)
		c.open()
		elsewhere := &caller{f: second, s: c.s, upstream: c.upstream}
		if v := elsewhere.answered(); v.Action != sparcookie.ToUpstream || v.ID != c.upstream {
			t.Fatalf("verdict %+v for a flow at upstream %d", v, c.upstream)
		}
	}
}

func TestSettingsMoveNoFlow(t *testing.T) {
	changes := []struct {
		name   string
		change func(f *fixture, c *caller)
	}{
		{"upstream drains", func(f *fixture, c *caller) {
			f.edit(c.upstream, func(u *sparroster.Upstream) { u.Draining = true })
		}},
		{"upstream leaves the list", func(f *fixture, c *caller) { f.remove(c.upstream) }},
		{"upstreams join", func(f *fixture, _ *caller) {
			f.upstreams = append(f.upstreams, upstream(7, "north"), upstream(8, "north"))
			f.apply()
		}},
		{"route names another service", func(f *fixture, _ *caller) {
			f.routes[0].Targets = []sparroster.Target{{Service: receipts, Weight: 1}}
			f.apply()
		}},
		{"service has no share any more", func(f *fixture, _ *caller) {
			f.routes[0].Targets = []sparroster.Target{{Service: booking}, {Service: receipts, Weight: 1}}
			f.apply()
		}},
	}
	for _, c := range changes {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			flow := f.caller(watch)
			flow.open()
			flow.answered()
			c.change(f, flow)
			f.wait(time.Second)
			v := flow.ask()
			wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Carried)
			if v.ID != flow.upstream {
				t.Errorf("moved from %d to %d", flow.upstream, v.ID)
			}
		})
	}
}

// TestYoungVMPassesFlowsOfEarlierRoutes is the pattern of a rolling restart after a
// route has changed its service.
func TestYoungVMPassesFlowsOfEarlierRoutes(t *testing.T) {
	old, young := newFixture(t), newFixture(t)
	c := old.caller(watch)
	c.open()
	young.routes[0].Targets = []sparroster.Target{{Service: receipts, Weight: 1}}
	young = &fixture{t: t, engine: sparcookie.New("vm-1", "north", 100), now: time.Second, upstreams: young.upstreams, routes: young.routes}
	young.apply()
	elsewhere := &caller{f: young, s: c.s}
	wantVerdict(t, elsewhere.answered(), sparcookie.ToUpstream, sparcookie.Carried)
	young.wait(sparcookie.FlowLife)
	wantVerdict(t, elsewhere.ask(), sparcookie.Drop, sparcookie.WrongService)
}

func TestUnknownCookieIsDropped(t *testing.T) {
	f := newFixture(t)
	c := f.caller(watch)
	c.s.Cookie = 12345
	wantVerdict(t, c.answered(), sparcookie.Drop, sparcookie.UnknownCookie)
	c.s.Cookie = 0
	wantVerdict(t, c.ask(), sparcookie.Drop, sparcookie.UnknownCookie)
}

func TestRefusals(t *testing.T) {
	f := newFixture(t)
	wantVerdict(t, f.caller(nobody).open(), sparcookie.Reset, sparcookie.NoRoute)
	f.engine.Fresh(false)
	wantVerdict(t, f.caller(nobody).open(), sparcookie.Drop, sparcookie.NotFresh)
	f.engine.Fresh(true)
	for id := range uint64(5) {
		f.edit(id+1, func(u *sparroster.Upstream) { u.Draining = true })
	}
	wantVerdict(t, f.caller(watch).open(), sparcookie.Reset, sparcookie.NoUpstream)
	wantVerdict(t, f.caller(sheets).open(), sparcookie.ToUpstream, sparcookie.Placed)
}

func TestDroppedRouteEndsItsFlows(t *testing.T) {
	f := newFixture(t)
	c := f.caller(watch)
	c.open()
	c.answered()
	f.routes = f.routes[1:]
	f.apply()
	f.engine.Fresh(false)
	wantVerdict(t, c.ask(), sparcookie.ToUpstream, sparcookie.Carried)
	f.engine.Fresh(true)
	wantVerdict(t, c.ask(), sparcookie.Reset, sparcookie.RouteDropped)
}

// TestGoneUpstream is the pattern of servers that end: a caller that repeats in vain is
// told at once where the end was planned, otherwise after two other VMs were tried; one
// that is answered stays.
func TestGoneUpstream(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned %v", planned), func(t *testing.T) {
			f := newFixture(t)
			c := f.caller(watch)
			c.open()
			c.answered()
			f.edit(c.upstream, func(u *sparroster.Upstream) { u.Draining = planned })
			f.remove(c.upstream)
			wantVerdict(t, c.ask(), sparcookie.ToUpstream, sparcookie.Carried)
			f.wait(rtt)
			c.get()
			wantVerdict(t, c.ask(), sparcookie.ToUpstream, sparcookie.Carried)
			for range 2 {
				f.wait(again)
				if !planned {
					wantVerdict(t, c.ask(), sparcookie.ToUpstream, sparcookie.Assisted)
				}
			}
			f.wait(again)
			wantVerdict(t, c.ask(), sparcookie.Reset, sparcookie.UpstreamGone)
		})
	}
}

func TestOvertakingPacketIsNoRepeat(t *testing.T) {
	f := newFixture(t)
	c := f.caller(watch)
	c.open()
	c.answered()
	second := c.s
	second.Seq, second.Size = c.s.Seq+100, 50
	f.forward(second)
	if v := c.ask(); v.Unanswered {
		t.Error("a packet that another one overtook counts as repeated")
	}
}

func TestRestartedUpstreamKeepsItsCookie(t *testing.T) {
	f := newFixture(t)
	c := f.caller(watch)
	c.open()
	f.edit(c.upstream, func(u *sparroster.Upstream) { u.Born += 1000 })
	if v := c.answered(); v.ID != c.upstream {
		t.Errorf("flow of a restarted upstream went to %d, want %d", v.ID, c.upstream)
	}
}

// TestSharedCookie looks for two upstreams whose first cookies are equal and checks
// that VMs which learn of them in either order agree on both.
func TestSharedCookie(t *testing.T) {
	a, b := sharedCookie()
	t.Logf("upstreams %d and %d", a, b)
	orders := [][]uint64{{a, b}, {b, a}}
	var got []string
	for _, order := range orders {
		f := &fixture{t: t, engine: sparcookie.New("vm-1", "north", 100), now: time.Second, port: 1000}
		f.routes = []sparroster.Route{{Address: watch, Targets: []sparroster.Target{{Service: booking, Weight: 1}}}}
		for _, id := range order {
			f.upstreams = append(f.upstreams, upstream(id, "north"))
			f.apply()
		}
		cookies := map[uint64]sparcookie.Cookie{}
		for range 50 {
			c := f.caller(watch)
			c.open()
			cookies[c.upstream] = c.s.Cookie
			if v := c.answered(); v.ID != c.upstream {
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

// sharedCookie returns two ids with the same first cookie.
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
	whole := newFixture(t)
	f.upstreams, f.routes = whole.upstreams, whole.routes
	f.apply()
	for range 1000 {
		c := f.caller(watch)
		c.open()
		c.answered()
	}
	if n := f.engine.Flows(); n > 100 {
		t.Errorf("%d flows on record, want at most 100", n)
	}
	for range 50 { // flows without a record end
		c := f.caller(watch)
		c.open()
		c.s.Kind = sparcookie.Finishing
		c.answered()
	}
	for _, use := range f.engine.Uses() {
		if use.Flows < 0 {
			t.Errorf("%d flows at upstream %d", use.Flows, use.Upstream.ID)
		}
	}
	f.wait(20 * time.Second)
	if n := f.engine.Flows(); n != 0 {
		t.Errorf("%d flows on record after their idle time", n)
	}
}

func TestMidFlowAllocatesNothing(t *testing.T) {
	f := newFixture(t)
	c := f.caller(watch)
	c.open()
	c.answered()
	s := c.s
	if n := testing.AllocsPerRun(1000, func() { f.engine.Forward(s) }); n != 0 {
		t.Errorf("%v allocations for a packet in a flow", n)
	}
}

// BenchmarkForward decides on a packet in a flow, one of 10,000 open ones.
func BenchmarkForward(b *testing.B) {
	f := newFixture(&testing.T{})
	var segments []sparcookie.Segment
	for range 9_000 {
		c := f.caller(watch)
		c.open()
		c.answered()
		segments = append(segments, c.s)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		f.engine.Forward(segments[i%len(segments)])
	}
}
