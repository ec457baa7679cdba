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

// TestGoneUpstreamResetsItsFlows: several VMs of its own failure domain have found that the upstream
// is gone. A client that waits for it is told at its first retransmission, so that it can try again.
func TestGoneUpstreamResetsItsFlows(t *testing.T) {
	f := newFixture(t)
	c := f.flowAt(1)
	f.wait(retransmitAfter / 2)
	f.engine.SetGone(1, true)
	f.wait(retransmitAfter / 2)
	wantVerdict(t, c.request(), sparcookie.Reset, sparcookie.UpstreamGone)
}

// TestGoneUpstreamKeepsFlows covers what must not reset a flow although others say that its upstream
// is gone.
func TestGoneUpstreamKeepsFlows(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(f *fixture) *client
	}{
		{"the first packet of a request", func(f *fixture) *client {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.ackResponse()
			f.wait(retransmitAfter)
			f.engine.SetGone(1, true)
			return c
		}},
		{"it has answered this VM since", func(f *fixture) *client {
			other, c := f.flowAt(1), f.flowAt(1)
			f.engine.SetGone(1, true)
			f.wait(retransmitAfter)
			other.ackResponse()
			f.wait(retransmitAfter)
			return c
		}},
		{"the evidence was refuted", func(f *fixture) *client {
			c := f.flowAt(1)
			f.engine.SetGone(1, true)
			f.engine.SetGone(1, false)
			f.wait(retransmitAfter)
			return c
		}},
		{"it is in another failure domain", func(f *fixture) *client {
			f.evacuate("north")
			c := f.flowAt(4)
			f.engine.SetGone(4, true)
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

// TestEjectedAndRemoved covers a crash: several VMs had ejected the upstream when its entry expired.
func TestEjectedAndRemoved(t *testing.T) {
	f := newFixture(t)
	c := f.flowAt(1)
	f.engine.SetWeight(1, 0)
	f.remove(1)
	f.wait(retransmitAfter)
	wantVerdict(t, c.request(), sparcookie.Reset, sparcookie.UpstreamGone)
}
