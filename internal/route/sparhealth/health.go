// Package sparhealth tracks the health of upstreams by passive health checking.
//
// Health follows from the flows of an upstream alone. Health and load endpoints are not
// queried, since their answers lag and mislead. A Health is the state of one upstream as
// seen by one VM. The zero Health is the state serving:
//
//	var h sparhealth.Health
//	for range sparhealth.FailureThreshold {
//		h.Failed(now)
//	}
//	h.AcceptsFlows() // false until BaseEjection has passed, then one new flow probes it
package sparhealth

import (
	_ "embed"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	// FailureThreshold is the number of consecutive failures that ejects an upstream.
	FailureThreshold = 3
	// BaseEjection is how long an ejected upstream gets no new flows. Each failed probe
	// doubles it, up to MaxEjection: every VM probes on its own, and each failed probe
	// delays a client.
	BaseEjection = 2 * time.Second
	MaxEjection  = 8 * time.Second

	// warmingStart is the weight of an upstream at the start of its warm-up.
	warmingStart = 0.1

	openMark    = sparchart.Mark("opens")
	warmingMark = sparchart.Mark("ramps")
	probeMark   = sparchart.Mark("once")
)

var (
	//go:embed upstream.chart
	chartText []byte

	chart = sparchart.MustParse(chartText)
)

// Health is the health of one upstream. Answered, Failed, Ejected and Tick report
// whether the state has changed.
type Health struct {
	state        sparchart.State
	failures     int
	failedProbes int // consecutive
	since        time.Duration
}

// NewWarming returns the health of an upstream whose warm-up starts now.
func NewWarming(now time.Duration) Health {
	return Health{state: chart.Next(chart.Start(), "joined"), since: now}
}

// State returns the name of the state as written in logs and events.
func (h *Health) State() string { return string(h.current()) }

// AcceptsFlows reports whether the upstream may get new flows.
func (h *Health) AcceptsFlows() bool { return chart.Has(h.current(), openMark) }

// Probing reports whether the upstream is half-open: it may get one new flow at a time.
func (h *Health) Probing() bool { return chart.Has(h.current(), probeMark) }

// Answered records a response of the upstream.
func (h *Health) Answered(now time.Duration) (changed bool) {
	h.failures, h.failedProbes = 0, 0
	return h.change("answered", now)
}

// Failed records a new flow or request that was refused or not answered.
func (h *Health) Failed(now time.Duration) (changed bool) {
	h.failures++
	if h.failures < FailureThreshold && !h.Probing() {
		return false
	}
	return h.fail(now)
}

// Ejected ejects the upstream at once. It is for evidence from more than one flow.
func (h *Health) Ejected(now time.Duration) (changed bool) {
	h.failures = FailureThreshold
	return h.fail(now)
}

func (h *Health) fail(now time.Duration) (changed bool) {
	if h.Probing() {
		h.failedProbes++
	}
	return h.change("failed", now)
}

// ejectionTime returns how long the present ejection lasts.
func (h *Health) ejectionTime() time.Duration {
	const doublings = 2 // from BaseEjection to MaxEjection
	return BaseEjection << min(h.failedProbes, doublings)
}

// Tick ends a warm-up or an ejection that is over at now. warm is the duration of the
// warm-up.
func (h *Health) Tick(now, warm time.Duration) (changed bool) {
	switch {
	case chart.Has(h.current(), warmingMark) && now-h.since >= warm:
		return h.change("warmed", now)
	case !h.AcceptsFlows() && now-h.since >= h.ejectionTime():
		return h.change("retry", now)
	}
	return false
}

// Weight returns the weight of the upstream for new flows. It grows from warmingStart to 1
// during the warm-up and is 1 otherwise.
func (h *Health) Weight(now, warm time.Duration) float64 {
	if !chart.Has(h.current(), warmingMark) {
		return 1
	}
	done := float64(now-h.since) / float64(warm)
	return min(1, warmingStart+(1-warmingStart)*done)
}

func (h *Health) current() sparchart.State {
	if h.state == "" {
		return chart.Start()
	}
	return h.state
}

func (h *Health) change(event sparchart.Event, now time.Duration) bool {
	prev := h.current()
	next := chart.Next(prev, event)
	if next == prev {
		return false
	}
	h.state, h.since = next, now
	return true
}
