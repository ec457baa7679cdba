package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

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
