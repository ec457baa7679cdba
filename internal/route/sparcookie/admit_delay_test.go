package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

type (
	// schedule is what is still to happen in a test.
	schedule []scheduled

	scheduled struct {
		at time.Duration
		do func()
	}
)

func (s *schedule) add(at time.Duration, do func()) { *s = append(*s, scheduled{at: at, do: do}) }

// run does what is due.
func (s *schedule) run(now time.Duration) {
	left := schedule{}
	for _, e := range *s {
		if e.at > now {
			left = append(left, e)
			continue
		}
		e.do()
	}
	*s = left
}

// every calls do at an interval for some time, and runs the schedule.
func (f *fixture) every(interval, d time.Duration, s *schedule, do func()) {
	next := f.now
	for end := f.now + d; f.now < end; f.wait(2 * time.Millisecond) {
		s.run(f.now)
		if f.now >= next {
			do()
			next += interval
		}
	}
}

// openThrough opens a flow and sends a request, over a link that delays SYN-ACK and response.
func (f *fixture) openThrough(s *schedule, delay, response time.Duration) {
	c := f.newClient(bookingAddr)
	c.open()
	s.add(f.now+delay, func() {
		c.s.Seq, c.s.Ack = 101, 500
		f.forward(c.s)
		c.request()
	})
	s.add(f.now+2*delay+response, func() { c.ackResponse() })
}

// wantNoneRefused checks that no flow was refused because of overload.
func (f *fixture) wantNoneRefused() {
	f.t.Helper()
	if n := f.engine.Stats().Verdicts[sparcookie.Overloaded]; n > 0 {
		f.t.Errorf("%d flows refused", n)
	}
}

// TestBusyLinkIsNoOverload covers demand that seems to take all slots while the link of the VM delays
// all packets by 60 ms: responses take four times as long, and so do SYN-ACKs.
func TestBusyLinkIsNoOverload(t *testing.T) {
	f, s := newPriorityFixture(t), &schedule{}
	f.every(100*time.Millisecond, 5*time.Second, s, func() { f.openThrough(s, 4*time.Millisecond, 20*time.Millisecond) })
	f.every(2*time.Millisecond, 3*time.Second, s, func() { f.openThrough(s, 60*time.Millisecond, 20*time.Millisecond) })
	f.wantNoneRefused()
}

// TestFlowsOfOtherVMsAreNoOverload covers requests that queue on flows which another VM has placed,
// and seem to take all slots, while requests on new flows are served at once.
func TestFlowsOfOtherVMsAreNoOverload(t *testing.T) {
	other, f, s := newPriorityFixture(t), newPriorityFixture(t), &schedule{}
	f.load(5*time.Second, 100*time.Millisecond, 20*time.Millisecond)
	f.every(2*time.Millisecond, 3*time.Second, s, func() {
		c := other.newClient(bookingAddr)
		c.open()
		moved := &client{f: f, s: c.s}
		moved.s.Seq, moved.s.Ack = 101, 500
		moved.request()
		s.add(f.now+80*time.Millisecond, func() { moved.ackResponse() })
		if f.now%(20*time.Millisecond) == 0 {
			f.openThrough(s, 4*time.Millisecond, 20*time.Millisecond)
		}
	})
	if a := f.engine.AdmissionStates()[booking]; a.Pending < 2*float64(a.Slots) {
		t.Errorf("%.0f requests under way, want them to seem too many for %d slots", a.Pending, a.Slots)
	}
	f.wantNoneRefused()
}
