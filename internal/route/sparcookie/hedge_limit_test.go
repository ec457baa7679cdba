package sparcookie_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// TestOnlyRepeatableRoutesAreHedged: a request that may not run twice is never hedged, also after
// its route has changed while it waits.
func TestOnlyRepeatableRoutesAreHedged(t *testing.T) {
	f := newHedgingFixture(t)
	for range 50 {
		if v := f.newClient(bookingAddr2).open(); v.Awaits != 0 {
			t.Fatal("an opening of another route waits for a hedge")
		}
		f.wait(hedgeDelay)
		if due := f.engine.DueHedges(); len(due) > 0 {
			t.Fatalf("hedges %+v", due)
		}
	}
	if v := f.newClient(bookingAddr).open(); v.Awaits == 0 {
		t.Fatal("an opening that may be repeated does not wait")
	}
	f.routes[0].Repeatable = false
	f.apply()
	f.wait(hedgeDelay)
	if due := f.engine.DueHedges(); len(due) > 0 {
		t.Errorf("hedges %+v after the change of the route", due)
	}
}

// TestHedgesStayWithinTheirShare: every upstream is slow, or all are silent, at any rate of
// openings. No more than the share set may be sent twice.
func TestHedgesStayWithinTheirShare(t *testing.T) {
	for _, gap := range []time.Duration{100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("an opening each %v, silent %v", gap, silent), func(t *testing.T) {
				f := newHedgingFixture(t)
				openings, hedges := 60, 0
				for range 3000 {
					c := f.newClient(bookingAddr)
					c.open()
					openings++
					f.wait(gap)
					hedges += len(f.engine.DueHedges())
					if !silent && openings%3 > 0 {
						c.ackHandshake()
					}
					if float64(hedges) > hedgeShare*float64(openings) {
						t.Fatalf("%d hedges of %d openings", hedges, openings)
					}
				}
				if got := f.engine.HedgeStats(); int(got.Sent) != hedges || got.Sent+got.Denied[sparcookie.HedgeOverBudget]+got.Denied[sparcookie.HedgeNowhere] == 0 {
					t.Errorf("%+v, sent %d", got, hedges)
				}
			})
		}
	}
}

// TestUnfitUpstreamsGetNoHedges: upstreams that warm up, drain or are evacuated get none.
func TestUnfitUpstreamsGetNoHedges(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *fixture, u *sparroster.Upstream)
	}{
		{"warming", func(_ *fixture, u *sparroster.Upstream) { u.Warm = time.Hour }},
		{"draining", func(_ *fixture, u *sparroster.Upstream) { u.Draining = true }},
		{"evacuated", func(f *fixture, u *sparroster.Upstream) { u.Domain = "east"; f.evacuated = []string{"east"} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newHedgingFixture(t)
			cl := f.newClient(bookingAddr)
			first := cl.open()
			for id := range uint64(5) {
				if id+1 != first.ID {
					f.edit(id+1, func(u *sparroster.Upstream) { c.change(f, u) })
				}
			}
			f.wait(hedgeDelay)
			if due := f.engine.DueHedges(); len(due) > 0 {
				t.Errorf("hedges %+v", due)
			}
			if got := f.engine.HedgeStats(); got.Denied[sparcookie.HedgeNowhere] != 1 {
				t.Errorf("%+v, want one denied", got)
			}
		})
	}
}

// TestNoHedgesWhileSlotsAreShort: requests take more than the part of the slots from which nothing
// more is sent than clients ask for, as in the busiest minutes. Hedges come back afterwards.
func TestNoHedgesWhileSlotsAreShort(t *testing.T) {
	f := newHedgingFixture(t)
	for range 120 { // 1,000 requests per second at 10 slots, 20 ms each
		f.requestOf(20 * time.Millisecond)
		f.wait(time.Millisecond)
	}
	f.newClient(bookingAddr).open()
	f.wait(hedgeDelay)
	if due := f.engine.DueHedges(); len(due) > 0 {
		t.Errorf("hedges %+v", due)
	}
	if got := f.engine.HedgeStats(); got.Denied[sparcookie.HedgeShort] != 1 {
		t.Errorf("%+v, want one denied", got)
	}
	f.wait(5 * time.Second)
	f.openQuickly(10)
	f.hedgeOf(f.newClient(bookingAddr))
}

// TestHedgesOff: without the setting nothing waits.
func TestHedgesOff(t *testing.T) {
	f := newHedgingFixture(t)
	f.engine.SetHedge(0)
	if v := f.newClient(bookingAddr).open(); v.Awaits != 0 {
		t.Error("an opening waits")
	}
	f.wait(hedgeDelay)
	if _, ok := f.engine.NextHedge(); ok || len(f.engine.DueHedges()) > 0 {
		t.Error("a hedge is due")
	}
}

// TestWaitingOpeningsAreBounded: more openings wait than there are slots.
func TestWaitingOpeningsAreBounded(t *testing.T) {
	f := newHedgingFixture(t)
	for range sparcookie.HedgeSlots + 10 {
		if v := f.newClient(bookingAddr).open(); v.Awaits > sparcookie.HedgeSlots {
			t.Fatalf("slot %d", v.Awaits)
		}
	}
	if got := f.engine.HedgeStats(); got.Denied[sparcookie.HedgeFull] != 10 {
		t.Errorf("%+v, want ten denied", got)
	}
}
