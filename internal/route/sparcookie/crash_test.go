package sparcookie_test

import (
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// flowAt returns an open flow at an upstream, with a request that has had no response.
func (f *fixture) flowAt(id uint64) *client {
	f.t.Helper()
	for range 100 {
		c := f.newClient(bookingAddr)
		c.open()
		c.ackHandshake()
		if c.upstream == id {
			wantVerdict(f.t, c.request(), sparcookie.ToUpstream, sparcookie.Carried)
			return c
		}
	}
	f.t.Fatalf("no flow at upstream %d", id)
	return nil
}

// TestCrashedUpstreamResetsItsFlows covers a crash: several VMs had ejected the upstream when its entry
// expired. A client that waits for it is told at its first retransmission, so that it can try again.
func TestCrashedUpstreamResetsItsFlows(t *testing.T) {
	f := newFixture(t)
	c := f.flowAt(1)
	f.wait(retransmitAfter / 2)
	f.engine.SetWeight(1, 0)
	f.remove(1)
	f.wait(retransmitAfter / 2)
	wantVerdict(t, c.request(), sparcookie.Reset, sparcookie.UpstreamGone)
}

// TestEjectedUpstreamKeepsFlows covers what must not reset a flow, since its upstream may run.
func TestEjectedUpstreamKeepsFlows(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(f *fixture) *client
	}{
		{"its entry stands", func(f *fixture) *client {
			c := f.flowAt(1)
			f.engine.SetWeight(1, 0)
			f.wait(retransmitAfter)
			return c
		}},
		{"the first packet of a request", func(f *fixture) *client {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.ackResponse()
			f.wait(retransmitAfter)
			f.engine.SetWeight(1, 0)
			f.remove(1)
			return c
		}},
		{"it has answered since the ejection", func(f *fixture) *client {
			other, c := f.flowAt(1), f.flowAt(1)
			f.engine.SetWeight(1, 0)
			f.wait(retransmitAfter)
			other.ackResponse()
			f.remove(1)
			f.wait(retransmitAfter)
			return c
		}},
		{"the ejection has ended", func(f *fixture) *client {
			c := f.flowAt(1)
			f.engine.SetWeight(1, 0)
			f.engine.SetWeight(1, 0.1)
			f.remove(1)
			f.wait(retransmitAfter)
			return c
		}},
		{"it is in another failure domain", func(f *fixture) *client {
			f.evacuate("north")
			c := f.flowAt(4)
			f.engine.SetWeight(4, 0)
			f.remove(4)
			f.wait(retransmitAfter)
			return c
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			cl := c.run(f)
			if v := cl.request(); v.Action != sparcookie.ToUpstream {
				t.Errorf("%v %v, want it sent on", v.Action, v.Cause)
			}
		})
	}
}

// TestEjectionEndsWithDamagedEntry covers an entry that another writer damages while its upstream is
// ejected, and that is mended: the upstream takes flows again.
func TestEjectionEndsWithDamagedEntry(t *testing.T) {
	f := newFixture(t)
	f.engine.SetWeight(1, 0)
	kept := f.upstreams
	f.upstreams, f.unusable = kept[1:], []uint64{1}
	f.apply()
	f.upstreams, f.unusable = kept, nil
	f.apply()
	if got := f.openMany(30, nil); got[1] == 0 {
		t.Errorf("flows %v, want some at upstream 1", got)
	}
}
