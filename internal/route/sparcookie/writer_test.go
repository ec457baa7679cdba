package sparcookie_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// TestUnusableUpstreamKeepsItsFlows guards against resets of flows whose upstream lives: another
// writer has replaced its entry. The upstream takes no new flows until it has written its
// entry again.
func TestUnusableUpstreamKeepsItsFlows(t *testing.T) {
	for _, draining := range []bool{true, false} {
		t.Run(fmt.Sprintf("draining %v", draining), func(t *testing.T) {
			f := newFixture(t)
			c := f.openFlow()
			f.edit(c.upstream, func(u *sparroster.Upstream) { u.Draining = draining })
			f.unusable = []uint64{c.upstream}
			f.apply()
			c.request()
			for range 5 {
				f.wait(retransmitAfter)
				if v := c.request(); v.Action != sparcookie.ToUpstream || v.ID != c.upstream {
					t.Fatalf("verdict %v %v, want the upstream of the flow", v.Action, v.Cause)
				}
			}
			for range 20 {
				if v := f.newClient(bookingAddr).open(); v.ID == c.upstream || v.Action != sparcookie.ToUpstream {
					t.Fatalf("verdict %v %v on a new flow, want another upstream", v.Action, v.Cause)
				}
			}
			f.unusable = nil
			f.edit(c.upstream, func(u *sparroster.Upstream) { u.Draining = false })
			f.wait(time.Minute)
			taken := false
			for range 100 {
				other := f.newClient(bookingAddr)
				other.open()
				other.ackHandshake()
				taken = taken || other.upstream == c.upstream
			}
			if !taken {
				t.Error("takes no flows after its entry is back")
			}
		})
	}
}

// TestUnknownUnusableUpstream puts an entry in force that can't be used, of an upstream that this VM
// never knew, and that of one which was removed.
func TestUnknownUnusableUpstream(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	f.remove(c.upstream)
	f.unusable = []uint64{c.upstream, 0x7777}
	f.apply()
	if states := f.engine.UpstreamStates(); len(states) != 5 {
		t.Errorf("%d upstreams, want the 5 others", len(states))
	}
}

// TestEntryOfUnnamedService guards against flows that are cut off, or new ones at an upstream that drains,
// because another writer has left an entry for it with a service that the configuration doesn't name.
func TestEntryOfUnnamedService(t *testing.T) {
	f := newFixture(t)
	c := f.openFlow()
	f.edit(c.upstream, func(u *sparroster.Upstream) { u.Draining = true })
	own := f.upstreams[c.upstream-1]
	f.edit(c.upstream, func(u *sparroster.Upstream) {
		u.Service, u.Draining, u.At = "no-such-service", false, sparflow.MakeEndpoint(0x0a0000ff, 9)
	})
	if states := f.engine.UpstreamStates(); len(states) != 5 {
		t.Errorf("%d upstreams, want the 5 others", len(states))
	}
	if v := c.request(); v.Action != sparcookie.ToUpstream || v.ID != c.upstream || v.At != own.At {
		t.Errorf("verdict %v %v at %v on an open flow, want its upstream at %v", v.Action, v.Cause, v.At, own.At)
	}
	for range 20 {
		if v := f.newClient(bookingAddr).open(); v.ID == c.upstream || v.Action != sparcookie.ToUpstream {
			t.Fatalf("verdict %v %v on a new flow, want another upstream", v.Action, v.Cause)
		}
	}
	f.routes = append(f.routes, sparroster.Route{Address: bookingAddr + 100, Targets: []sparroster.Target{{Service: "no-such-service", Weight: 1}}})
	f.apply()
	if states := f.engine.UpstreamStates(); len(states) != 6 {
		t.Errorf("%d upstreams once the service is named, want all 6", len(states))
	}
}
