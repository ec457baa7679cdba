package sparhealth_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
)

// ExampleHealth takes an upstream out and tries it again.
func ExampleHealth() {
	var h sparhealth.Health
	now := time.Second
	for range sparhealth.FailuresInRow {
		h.Failed(now)
	}
	fmt.Println(h.State(), h.Opens())
	h.Tick(now+sparhealth.RetryAfter, 0)
	fmt.Println(h.State(), h.Opens())
	h.Answered(now + sparhealth.RetryAfter)
	fmt.Println(h.State(), h.Opens())
	// Output:
	// failing false
	// trial true
	// serving true
}

func TestTrialFailsAtOnce(t *testing.T) {
	var h sparhealth.Health
	h.Ejected(0)
	h.Tick(sparhealth.RetryAfter, 0)
	if !h.Failed(sparhealth.RetryAfter) || h.Opens() {
		t.Errorf("state %s after a failed trial", h.State())
	}
}

func TestAnswersEndARowOfFailures(t *testing.T) {
	var h sparhealth.Health
	for range 10 * sparhealth.FailuresInRow {
		for range sparhealth.FailuresInRow - 1 {
			h.Failed(0)
		}
		h.Answered(0)
	}
	if !h.Opens() {
		t.Errorf("state %s though no %d failures came in a row", h.State(), sparhealth.FailuresInRow)
	}
}

func TestWarmingRamps(t *testing.T) {
	h := sparhealth.Joined(0)
	half := h.Weight(time.Second, 2*time.Second)
	if half <= 0.1 || half >= 1 {
		t.Errorf("weight %v half way through the warm-up", half)
	}
	h.Tick(2*time.Second, 2*time.Second)
	if got := h.Weight(2*time.Second, 2*time.Second); got != 1 {
		t.Errorf("weight %v after the warm-up", got)
	}
}

// TestTrialsGrowRare is the pattern of a fleet beside upstreams that are gone while the
// platform is away: each VM tries each of them, so trials must not add up.
func TestTrialsGrowRare(t *testing.T) {
	const step = 50 * time.Millisecond
	var h sparhealth.Health
	h.Ejected(0)
	trials := 0
	for now := step; now <= 30*time.Second; now += step {
		if h.Tick(now, 0); h.OnTrial() {
			trials++
			h.Failed(now)
		}
	}
	if trials > 5 {
		t.Errorf("%d trials in 30 s, want at most 5: after 2, 4, 8, 8 and 8 s", trials)
	}
	h.Tick(time.Minute, 0)
	h.Answered(time.Minute)
	h.Ejected(time.Minute)
	if h.Tick(time.Minute+sparhealth.RetryAfter, 0); !h.OnTrial() {
		t.Error("an upstream that has answered is not tried as soon as another")
	}
}
