package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// urgentAddr is an address of the service of bookingAddr whose route is more urgent.
var urgentAddr = mustEndpoint("198.51.100.1:83")

// newPriorityFixture returns a fixture with routes of two priorities, and one without an objective
// (bookingAddr2).
func newPriorityFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.routes[0].Target, f.routes[0].Priority = 400*time.Millisecond, 2
	f.routes = append(f.routes, sparroster.Route{
		Address: urgentAddr, Target: 400 * time.Millisecond, Priority: 1,
		Targets: []sparroster.Target{{Service: booking, Weight: 1}},
	})
	f.apply()
	return f
}

// load opens flows at a rate for some time. Their responses take a time each. It returns the number
// of flows that went to each failure domain.
func (f *fixture) load(d, every, response time.Duration) map[string]int {
	got := map[string]int{}
	next := f.now
	for end := f.now + d; f.now < end; f.wait(2 * time.Millisecond) {
		if f.now >= next {
			got[f.domainOf(f.requestOf(response))]++
			next += every
		}
	}
	return got
}

// overload puts the fixture under an overload: first the usual load, then demand beyond the ten slots.
func (f *fixture) overload() {
	f.load(5*time.Second, 100*time.Millisecond, 20*time.Millisecond)
	f.load(2*time.Second, 2*time.Millisecond, 60*time.Millisecond)
}

// refusedOf opens a hundred flows and returns how many are refused because of overload.
func (f *fixture) refusedOf(open func() sparcookie.Verdict) (refused int) {
	for range 100 {
		v := open()
		if v.Cause == sparcookie.Overloaded {
			wantVerdict(f.t, v, sparcookie.Reset, sparcookie.Overloaded)
			refused++
		}
	}
	return refused
}

// TestOverloadRefusesLessUrgent covers demand beyond the slots of all failure domains.
func TestOverloadRefusesLessUrgent(t *testing.T) {
	f := newPriorityFixture(t)
	f.overload()
	if n := f.refusedOf(func() sparcookie.Verdict { return f.newClient(bookingAddr).open() }); n < 20 {
		t.Errorf("%d of 100 flows of the less urgent route refused", n)
	}
	if n := f.refusedOf(func() sparcookie.Verdict { return f.newClient(urgentAddr).open() }); n > 10 {
		t.Errorf("%d of 100 flows of the urgent route refused", n)
	}
	if n := f.refusedOf(func() sparcookie.Verdict { return f.newClient(bookingAddr2).open() }); n > 0 {
		t.Errorf("%d of 100 flows of a route without an objective refused", n)
	}
	a := f.engine.AdmissionOf(f.newClient(bookingAddr).s)
	if a.Service != booking || a.Priority != 2 || a.Target != 400*time.Millisecond || a.State.Slots != 10 || a.State.Refused == 0 {
		t.Errorf("explained by %+v", a)
	}
	if got := f.engine.RejectedOpenings(); got[2] < 20 {
		t.Errorf("counted by priority: %v", got)
	}
}

// TestOverloadRefusesNoCopies covers copies of SYNs, of which another VM may have placed the first.
func TestOverloadRefusesNoCopies(t *testing.T) {
	f := newPriorityFixture(t)
	f.overload()
	n := f.refusedOf(func() sparcookie.Verdict {
		s := f.newClient(bookingAddr).s
		s.Kind, s.Ack = sparcookie.SYN, 1
		return f.forward(s)
	})
	if n > 0 {
		t.Errorf("%d of 100 copies refused", n)
	}
}

// TestOverloadLeavesOpenFlows covers requests on flows that were open before the overload.
func TestOverloadLeavesOpenFlows(t *testing.T) {
	f := newPriorityFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	c.ackHandshake()
	f.overload()
	wantVerdict(t, c.request(), sparcookie.ToUpstream, sparcookie.Carried)
}

// TestManyCallersSpillFirst covers demand of the callers of one failure domain that exceeds its
// slots, while those of the other one are free: new flows go there and none is refused.
func TestManyCallersSpillFirst(t *testing.T) {
	f := newPriorityFixture(t)
	f.load(5*time.Second, 100*time.Millisecond, 20*time.Millisecond)
	got := f.load(3*time.Second, 2*time.Millisecond, 20*time.Millisecond) // all slots of both domains
	if got["south"] < 600 {
		t.Errorf("flows by failure domain %v, want at least 600 in the other one", got)
	}
	if n := f.engine.Stats().Verdicts[sparcookie.Overloaded]; n > 0 {
		t.Errorf("%d flows refused", n)
	}
}

// TestOverloadEvents checks that an overload is reported once when it begins and once when it ends.
func TestOverloadEvents(t *testing.T) {
	f := newPriorityFixture(t)
	f.overload()
	f.load(3*time.Second, 100*time.Millisecond, 20*time.Millisecond)
	var began []bool
	for _, event := range f.engine.Events() {
		if e, ok := event.(sparcookie.OverloadChanged); ok && e.Service == booking {
			began = append(began, e.Began)
		}
	}
	if len(began) != 2 || !began[0] || began[1] {
		t.Errorf("events %v, want begin and end", began)
	}
}

// TestThinkTimeIsNoResponseTime covers clients that acknowledge a response only with their next
// request, a second later: that says nothing on the upstream.
func TestThinkTimeIsNoResponseTime(t *testing.T) {
	f := newPriorityFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	c.ackHandshake()
	for range 100 {
		c.request()
		f.wait(time.Second)
		c.s.Seq += 100
		c.s.Ack += 400 // acknowledged by the next request
	}
	if got := f.engine.AdmissionStates()[booking].Response; got != 0 {
		t.Errorf("response time %v, want none", got)
	}
}
