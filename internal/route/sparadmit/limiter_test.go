package sparadmit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
)

// feed sends requests at a rate, with the response time of each, and returns the time at the end.
func feed(l *sparadmit.Limiter, route *sparadmit.Times, now, d, every, response time.Duration) time.Duration {
	for end := now + d; now < end; now += every {
		l.Request(now)
		l.Response(now, sparadmit.Answer{Route: route, Waited: response, Placed: now - response})
	}
	return now
}

// Example learns the response time of a route and then sees it rise while all slots are taken.
func Example() {
	l := sparadmit.New()
	l.SetPool(4, 1)
	route := sparadmit.NewTimes(400 * time.Millisecond)
	now := feed(l, route, time.Second, 5*time.Second, 20*time.Millisecond, 40*time.Millisecond)
	fmt.Println(l.Admit(now, sparadmit.Opening{Client: 7, Priority: 2}))
	now = feed(l, route, now, 5*time.Second, 10*time.Millisecond, 200*time.Millisecond)
	admitted := 0
	for range 100 {
		if l.Admit(now, sparadmit.Opening{Client: 7, Priority: 2}) {
			admitted++
		}
	}
	fmt.Println(admitted < 50)
	// Output:
	// true
	// true
}

// ExampleLimiter_Admit has flows of two priorities while demand is twice the slots: the urgent ones
// are admitted, and a part of the others.
func ExampleLimiter_Admit() {
	const urgent, other = 1, 2
	l := sparadmit.New()
	l.SetPool(4, 1)
	route := sparadmit.NewTimes(400 * time.Millisecond)
	now := feed(l, route, time.Second, 5*time.Second, 20*time.Millisecond, 40*time.Millisecond)
	now = feed(l, route, now, 600*time.Millisecond, 10*time.Millisecond, 150*time.Millisecond)
	admitted := map[int]int{}
	for n := range 100 {
		priority := urgent + n%2
		if l.Admit(now, sparadmit.Opening{Client: uint32(n), Priority: priority}) {
			admitted[priority]++
		}
	}
	fmt.Println("urgent flows:", admitted[urgent], "of 50")
	fmt.Println("others refused:", admitted[other] < 50)
	// Output:
	// urgent flows: 50 of 50
	// others refused: true
}

// TestSlowWithFreeSlots covers a service that has become five times slower while slots are free:
// refusals would help no one.
func TestSlowWithFreeSlots(t *testing.T) {
	l := sparadmit.New()
	l.SetPool(100, 1)
	route := sparadmit.NewTimes(400 * time.Millisecond)
	now := feed(l, route, time.Second, 5*time.Second, 20*time.Millisecond, 40*time.Millisecond)
	now = feed(l, route, now, 5*time.Second, 10*time.Millisecond, 200*time.Millisecond)
	wantAtMost(t, "refused share", l.State(now).Refused, 0)
}

// TestOverloadIsNotLearnt covers an overload of a minute, which doesn't become the usual response time.
func TestOverloadIsNotLearnt(t *testing.T) {
	l := sparadmit.New()
	l.SetPool(4, 1)
	route := sparadmit.NewTimes(400 * time.Millisecond)
	now := feed(l, route, time.Second, 5*time.Second, 20*time.Millisecond, 40*time.Millisecond)
	now = feed(l, route, now, time.Minute, 10*time.Millisecond, 200*time.Millisecond)
	wantAtLeast(t, "refused share", l.State(now).Refused, 0.5)
	wantAtMost(t, "usual response time in ms", float64(route.Base().Milliseconds()), 45)
}

// TestFewCallersWithReports covers a VM whose callers are few compared with those of the others. It learns from the
// figures of all VMs that slots are taken, as long as they are recent.
func TestFewCallersWithReports(t *testing.T) {
	l := sparadmit.New()
	l.SetPool(100, 1)
	route := sparadmit.NewTimes(400 * time.Millisecond)
	now := feed(l, route, time.Second, 5*time.Second, 20*time.Millisecond, 40*time.Millisecond)
	for range 10 {
		l.SetView(now, sparadmit.View{Pending: 300, Slots: 100, VMs: 16, Age: 200 * time.Millisecond})
		now = feed(l, route, now, 100*time.Millisecond, 10*time.Millisecond, 200*time.Millisecond)
	}
	wantAtLeast(t, "refused share", l.State(now).Refused, 0.3)
	now = feed(l, route, now, 3*time.Second, 10*time.Millisecond, 200*time.Millisecond)
	wantAtMost(t, "refused share without recent figures", l.State(now).Refused, 0)
}

// TestPriorityOutOfRange covers priorities that the settings do not limit.
func TestPriorityOutOfRange(t *testing.T) {
	l := sparadmit.New()
	for _, priority := range []int{-5, 8, 1 << 40} {
		if !l.Admit(time.Second, sparadmit.Opening{Client: 7, Priority: priority}) {
			t.Errorf("priority %d refused without load", priority)
		}
	}
}

// TestTinyObjective guards against an objective of next to nothing, which once refused all flows: the
// ratio of no delay to no allowed delay is no number.
func TestTinyObjective(t *testing.T) {
	times := sparadmit.NewTimes(2 * time.Nanosecond)
	if got := times.Allowed(); got < time.Millisecond {
		t.Errorf("allowed %v, want a millisecond at least", got)
	}
}
