package sparconfig

import "time"

type (
	// Carrier is how the fabric delivers packets, which determines how a VM finds the
	// upstream of a flow. It is a sealed interface: GeneveCarrier or CookieCarrier.
	Carrier interface {
		carrier()
	}

	// GeneveCarrier encapsulates packets. VMs that own slots keep the flow records.
	GeneveCarrier struct {
		Fabric string // UDP address to which packets are returned
	}

	// CookieCarrier makes both ends of a flow echo a cookie that identifies the upstream.
	CookieCarrier struct {
		Ready string        // HTTP address of the fabric's readiness probe
		Force time.Duration // within which settings must be in force everywhere
		Grace time.Duration // from SIGTERM to SIGKILL
		Beat  time.Duration // between two heartbeats of an upstream to the platform

		Evacuate time.Duration // within which an evacuation must be in force everywhere
		Warm     WarmLimit
		Hedge    float64 // share of openings that may be sent to a second upstream, 0 for none
		Probe    int     // VMs asked whether an upstream that is silent is gone, 0 for none
		Capacity Capacity
	}

	// WarmLimit is by how much an upstream may exceed the rate that it takes during its warm-up:
	// rate times Overage plus Slack, in any second.
	WarmLimit struct {
		Overage float64
		Slack   float64 // requests
	}

	// Capacity is what a VM has of processor and link, 0 for unknown.
	Capacity struct {
		Cores float64 // processor cores that it may use
		Link  float64 // megabits per second
	}
)

func (GeneveCarrier) carrier() {}
func (CookieCarrier) carrier() {}

// Bound returns the time within which what operators write must be in force everywhere: the
// shortest of those that are set.
func (c CookieCarrier) Bound() time.Duration {
	if c.Evacuate > 0 && c.Evacuate < c.Force {
		return c.Evacuate
	}
	return c.Force
}
