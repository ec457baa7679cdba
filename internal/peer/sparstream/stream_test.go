package sparstream_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparstream"
)

func Example() {
	here, there := sparstream.New[string](1, 2), sparstream.New[string](2, 1)
	here.Queue("hello")
	for _, frame := range here.Due(0) {
		body, ok := there.Receive(frame)
		fmt.Println(body, ok)
	}
	for _, frame := range there.Due(0) {
		here.Receive(frame)
	}
	fmt.Println(here.Acked(), here.Pending())
	// Output:
	// hello true
	// 1 0
}

// TestLossyNetwork drops, duplicates and delays frames. Every message must still arrive
// once and in order.
func TestLossyNetwork(t *testing.T) {
	const messages = 500
	rng := rand.New(rand.NewPCG(1, 1))
	a, b := sparstream.New[int](10, 20), sparstream.New[int](20, 10)
	for i := range messages {
		a.Queue(i)
	}
	var late []sparstream.Frame[int]
	next := 0
	now := time.Duration(0)
	for ; a.Pending() > 0 && now < time.Hour; now += 50 * time.Millisecond {
		frames := append(a.Due(now), late...)
		late = nil
		for _, f := range frames {
			switch rng.IntN(4) {
			case 0: // lost
			case 1:
				late = append(late, f, f)
			default:
				if body, ok := b.Receive(f); ok {
					if body != next {
						t.Fatalf("message %d arrived, want %d", body, next)
					}
					next++
				}
			}
		}
		for _, f := range b.Due(now) {
			if rng.IntN(4) > 0 {
				a.Receive(f)
			}
		}
	}
	if next != messages {
		t.Errorf("%d messages arrived, want %d", next, messages)
	}
}

func TestFrameOfAnotherIncarnationIsIgnored(t *testing.T) {
	old, restarted := sparstream.New[string](1, 2), sparstream.New[string](3, 1)
	old.Queue("to the previous incarnation")
	if _, ok := restarted.Receive(old.Due(0)[0]); ok {
		t.Error("the frame was accepted")
	}
}
