package spartimeline_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
)

// ExampleClock orders a cause before its effect on a VM whose clock is an hour behind.
func ExampleClock() {
	var here, there spartimeline.Clock
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	cause := here.Next(noon)
	there.Observe(cause)
	effect := there.Next(noon.Add(-time.Hour))
	fmt.Println(cause < effect)
	// Output: true
}

func TestRingKeepsLatest(t *testing.T) {
	r := spartimeline.NewRing(3)
	for i := range 5 {
		r.Add(spartimeline.Event{At: spartimeline.Stamp(i)})
	}
	events := r.Since(0)
	if len(events) != 3 || events[0].At != 2 || events[2].At != 4 {
		t.Errorf("events %v", events)
	}
}
