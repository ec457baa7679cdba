package sparhealth_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
)

// ExampleHealth ejects an upstream and probes it.
func ExampleHealth() {
	var h sparhealth.Health
	now := time.Second
	for range sparhealth.FailureThreshold {
		h.Failed(now)
	}
	fmt.Println(h.State(), h.AcceptsFlows())
	h.Tick(now+sparhealth.BaseEjection, 0)
	fmt.Println(h.State(), h.AcceptsFlows())
	h.Answered(now + sparhealth.BaseEjection)
	fmt.Println(h.State(), h.AcceptsFlows())
	// Output:
	// failing false
	// trial true
	// serving true
}

func TestProbeFailsAtOnce(t *testing.T) {
	var h sparhealth.Health
	h.Ejected(0)
	h.Tick(sparhealth.BaseEjection, 0)
	if !h.Failed(sparhealth.BaseEjection) || h.AcceptsFlows() {
		t.Errorf("state %s after a failed probe", h.State())
	}
}

func TestResponseEndsConsecutiveFailures(t *testing.T) {
	var h sparhealth.Health
	for range 10 * sparhealth.FailureThreshold {
		for range sparhealth.FailureThreshold - 1 {
			h.Failed(0)
		}
		h.Answered(0)
	}
	if !h.AcceptsFlows() {
		t.Errorf("state %s without %d consecutive failures", h.State(), sparhealth.FailureThreshold)
	}
}

func TestWarmUpWeight(t *testing.T) {
	h := sparhealth.NewWarming(0)
	half := h.Weight(time.Second, 2*time.Second)
	if half <= 0.1 || half >= 1 {
		t.Errorf("weight %v in the middle of the warm-up", half)
	}
	h.Tick(2*time.Second, 2*time.Second)
	if got := h.Weight(2*time.Second, 2*time.Second); got != 1 {
		t.Errorf("weight %v after the warm-up", got)
	}
}

// TestProbeBackoff covers upstreams that have stopped during a platform outage, so that they
// stay in the settings. Each VM probes each of them, so probes have to become rare.
func TestProbeBackoff(t *testing.T) {
	const step = 50 * time.Millisecond
	var h sparhealth.Health
	h.Ejected(0)
	probes := 0
	for now := step; now <= 30*time.Second; now += step {
		if h.Tick(now, 0); h.Probing() {
			probes++
			h.Failed(now)
		}
	}
	if probes > 5 {
		t.Errorf("%d probes in 30 s, want at most 5: after 2, 4, 8, 8 and 8 s", probes)
	}
	h.Tick(time.Minute, 0)
	h.Answered(time.Minute)
	h.Ejected(time.Minute)
	if h.Tick(time.Minute+sparhealth.BaseEjection, 0); !h.Probing() {
		t.Error("a response has not reset the ejection time")
	}
}
