package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// suspects returns the IDs of the upstreams that other VMs are to be asked about.
func (f *fixture) suspects() (ids []uint64) {
	for _, s := range f.engine.Suspects() {
		ids = append(ids, s.ID)
	}
	return ids
}

// setGone puts the verdict in force that an upstream is gone; the round took 0.1 s.
func (f *fixture) setGone(id uint64) { f.outcome(id, sparprobe.Gone) }

func (f *fixture) outcome(id uint64, kind sparprobe.Kind) {
	u := sparprobe.Upstream{ID: id, Born: int64(id)}
	f.engine.SetGone(sparprobe.Outcome{Kind: kind, Upstream: u, Age: 100 * time.Millisecond, Until: f.now + 2*time.Second})
}

func TestUnansweredRequestsMakeSuspect(t *testing.T) {
	tests := []struct {
		name string
		want bool
		run  func(f *fixture)
	}{
		{"a request is retransmitted", true, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.request()
		}},
		{"a request hangs, and its client sends no copy", true, func(f *fixture) {
			f.engine.SetUsual(booking, 20*time.Millisecond)
			f.flowAt(1)
			f.wait(250 * time.Millisecond)
		}},
		{"a request does not hang yet", false, func(f *fixture) {
			f.engine.SetUsual(booking, 20*time.Millisecond)
			f.flowAt(1)
			f.wait(150 * time.Millisecond)
		}},
		{"a slow service", false, func(f *fixture) {
			f.engine.SetUsual(booking, 250*time.Millisecond)
			f.flowAt(1)
			f.wait(time.Second)
		}},
		{"a request that hangs is answered", false, func(f *fixture) {
			f.engine.SetUsual(booking, 20*time.Millisecond)
			c := f.flowAt(1)
			f.wait(300 * time.Millisecond)
			c.ackResponse()
			f.wait(time.Second)
		}},
		{"it answers another client", false, func(f *fixture) {
			other, c := f.flowAt(1), f.flowAt(1)
			f.wait(retransmitAfter / 2)
			other.ackResponse()
			f.wait(retransmitAfter / 2)
			c.request()
		}},
		{"it answers after the retransmission", false, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.request()
			c.ackResponse()
		}},
		{"full: a SYN is unanswered", false, func(f *fixture) {
			c := f.newClient(bookingAddr)
			c.open()
			f.wait(retransmitAfter)
			c.open()
		}},
		{"a reordered packet", false, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(20 * time.Millisecond)
			c.request()
		}},
		{"it drains", false, func(f *fixture) {
			c := f.flowAt(1)
			f.upstreams[0].Draining = true
			f.apply()
			f.wait(retransmitAfter)
			c.request()
		}},
		{"this VM was paused", false, func(f *fixture) {
			c := f.flowAt(1)
			f.pause(retransmitAfter)
			c.request()
		}},
		{"restarted under its ID", false, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.request()
			f.upstreams[0].Born++
			f.apply()
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.run(f)
			if got := f.suspects(); (len(got) > 0) != c.want {
				t.Errorf("suspects %v, want some: %t", got, c.want)
			}
			if again := f.suspects(); len(again) > 0 {
				t.Errorf("suspects %v again", again)
			}
		})
	}
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

// TestSilentThenRemovedUpstreamResetsAtFirstCopy covers the flows of an upstream that has been silent for long when its entry
// is removed: the first packet of a request goes through two other VMs, and the flow is reset at its
// first retransmission. A VM that has seen no request fail waits for both as before.
func TestSilentThenRemovedUpstreamResetsAtFirstCopy(t *testing.T) {
	for name, seen := range map[string]bool{"a request went unanswered": true, "nothing is known": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.flowAt(1)
			c.ackResponse()
			failing := f.flowAt(1)
			f.wait(retransmitAfter)
			if seen {
				failing.request()
			}
			f.wait(3 * time.Second)
			f.remove(1)
			v := c.request()
			if quick := v.Relay != 0 && v.Second != 0 && v.Relay != v.Second; quick != seen {
				t.Errorf("through %s and %s", v.Relay, v.Second)
			}
			f.wait(retransmitAfter)
			if v := c.request(); (v.Action == sparcookie.Reset) != seen {
				t.Errorf("%v %v at the first retransmission", v.Action, v.Cause)
			}
		})
	}
}

// TestReplacedUpstreamResetsItsFlows covers the flows of a crashed upstream whose address another one gets, so that connections
// to it succeed. Its flows end at once once its entry is removed, and until then at the first retransmission.
func TestReplacedUpstreamResetsItsFlows(t *testing.T) {
	tests := []struct {
		name      string
		born      int64
		remove    bool
		answers   bool          // it answers another client after the later start was listed
		age       time.Duration // of the request
		wantReset bool
	}{
		{"entry removed", 99, true, false, 20 * time.Millisecond, true},
		{"entry stands, a reordered packet", 99, false, false, 20 * time.Millisecond, false},
		{"entry stands, a retransmission", 99, false, false, retransmitAfter, true},
		{"entry stands, it answers", 99, false, true, 2 * retransmitAfter, false},
		{"an earlier start, entry removed", 0, true, false, retransmitAfter, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			other, waiting := f.flowAt(1), f.flowAt(1)
			next := newUpstream(9, "north")
			next.At, next.Born, next.Service = f.upstreams[0].At, c.born, receipts
			f.upstreams = append(f.upstreams, next)
			if c.remove {
				f.remove(1)
			}
			f.apply()
			f.wait(c.age / 2)
			if c.answers {
				other.ackResponse()
			}
			f.wait(c.age / 2)
			v := waiting.request()
			if got := v.Action == sparcookie.Reset; got != c.wantReset {
				t.Errorf("%v %v, want a reset: %t", v.Action, v.Cause, c.wantReset)
			}
		})
	}
}
