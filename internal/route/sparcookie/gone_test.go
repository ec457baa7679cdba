package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// setGone puts the verdict in force that an upstream is gone; the round took 0.1 s.
func (f *fixture) setGone(id uint64) { f.outcome(id, sparprobe.Gone) }

func (f *fixture) outcome(id uint64, kind sparprobe.Kind) {
	u := sparprobe.Upstream{ID: id, Born: int64(id)}
	f.engine.SetGone(sparprobe.Outcome{Kind: kind, Upstream: u, Age: 100 * time.Millisecond, Until: f.now + 2*time.Second})
}

// TestGoneUpstreamResetsItsFlows covers a crash that other VMs have confirmed: a flow ends at its next
// packet with data, the entry of the upstream notwithstanding.
func TestGoneUpstreamResetsItsFlows(t *testing.T) {
	f := newFixture(t)
	waiting, idle := f.flowAt(1), f.flowAt(1)
	idle.ackResponse()
	f.wait(time.Second)
	f.setGone(1)
	wantVerdict(t, waiting.request(), sparcookie.Reset, sparcookie.UpstreamGone)
	wantVerdict(t, idle.request(), sparcookie.Reset, sparcookie.UpstreamGone)
}

// TestGoneUpstreamTakesNoFlows covers new flows and copies of SYNs while an upstream is gone.
func TestGoneUpstreamTakesNoFlows(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	first := c.upstream
	f.setGone(first)
	f.wait(20 * time.Millisecond)
	if v := c.open(); v.ID == first {
		t.Errorf("the copy of a SYN goes to upstream %d, which is gone", first)
	}
	if got := f.openMany(30, nil); got[first] > 0 {
		t.Errorf("flows %v, want none at upstream %d", got, first)
	}
	f.wait(2 * time.Second)
	if got := f.openMany(30, nil); got[first] == 0 {
		t.Errorf("flows %v, want some at upstream %d after the verdict", got, first)
	}
}

// TestSignsOfLifeKeepFlowsOfGoneUpstream covers what keeps or returns the flows of an upstream that was found gone.
func TestSignsOfLifeKeepFlowsOfGoneUpstream(t *testing.T) {
	tests := []struct {
		name string
		run  func(f *fixture, c *client)
	}{
		{"the verdict ends", func(f *fixture, _ *client) { f.wait(2 * time.Second) }},
		{"a VM reaches it", func(f *fixture, _ *client) { f.outcome(1, sparprobe.Back) }},
		{"it answers another flow", func(f *fixture, _ *client) {
			f.engine.SetGone(sparprobe.Outcome{Kind: sparprobe.Back, Upstream: sparprobe.Upstream{ID: 1, Born: 1}})
			other := f.flowAt(1)
			f.setGone(1)
			other.ackResponse()
		}},
		{"this VM was paused meanwhile", func(f *fixture, _ *client) { f.pause(retransmitAfter) }},
		{"its entry changes", func(f *fixture, _ *client) { f.edit(1, func(u *sparroster.Upstream) { u.Slots++ }) }},
		{"the verdict is on an earlier start", func(f *fixture, c *client) {
			f.edit(1, func(u *sparroster.Upstream) { u.Born++ })
			f.setGone(1)
			c.s.Seq += 100 // a request of the next start
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			cl := f.flowAt(1)
			f.setGone(1)
			c.run(f, cl)
			if v := cl.request(); v.Action != sparcookie.ToUpstream {
				t.Errorf("%v %v, want it sent on", v.Action, v.Cause)
			}
		})
	}
}

// TestGoneUpstreamKeepsOtherPackets covers packets without data, which may show a sign of life.
func TestGoneUpstreamKeepsOtherPackets(t *testing.T) {
	for name, kind := range map[string]sparcookie.Kind{"ACK": sparcookie.Data, "FIN": sparcookie.FIN, "RST": sparcookie.RST} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.flowAt(1)
			f.setGone(1)
			c.s.Kind = kind
			wantVerdict(t, f.forward(c.s), sparcookie.ToUpstream, sparcookie.Carried)
		})
	}
}
