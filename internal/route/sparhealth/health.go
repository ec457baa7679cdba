// Package sparhealth judges an upstream by what its flows show.
//
// Health and load endpoints are not asked: they lag and mislead. A Health is the
// state of one upstream as one VM sees it; its zero value serves:
//
//	var h sparhealth.Health
//	for range sparhealth.FailuresInRow {
//		h.Failed(now)
//	}
//	h.Opens() // false until RetryAfter has passed, then one opening tries it
package sparhealth

import (
	_ "embed"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	// FailuresInRow is the number of failed openings after which an upstream fails.
	FailuresInRow = 3
	// RetryAfter is how long a failing upstream gets no openings. Each trial that fails
	// doubles it, up to RetryAtMost: every VM tries for itself, at the cost of a caller.
	RetryAfter  = 2 * time.Second
	RetryAtMost = 8 * time.Second

	// rampStart is the share of a warming upstream at its first moment.
	rampStart = 0.1

	opensMark = sparchart.Mark("opens")
	rampsMark = sparchart.Mark("ramps")
	onceMark  = sparchart.Mark("once")
)

var (
	//go:embed upstream.chart
	text []byte

	chart = sparchart.MustParse(text)
)

// Health is what flows show about one upstream. Its methods that take an event
// report whether the state changed.
type Health struct {
	state    sparchart.State
	failures int
	trials   int // in a row that failed
	since    time.Duration
}

// Joined returns the health of an upstream that warms up from now on.
func Joined(now time.Duration) Health {
	return Health{state: chart.Next(chart.Start(), "joined"), since: now}
}

// State returns the name of the state, for log lines and events.
func (h *Health) State() string { return string(h.current()) }

// Opens reports whether the flows do not speak against new openings.
func (h *Health) Opens() bool { return chart.Has(h.current(), opensMark) }

// OnTrial reports whether one opening at a time may try the upstream.
func (h *Health) OnTrial() bool { return chart.Has(h.current(), onceMark) }

// Answered notes that the upstream has answered.
func (h *Health) Answered(now time.Duration) (changed bool) {
	h.failures, h.trials = 0, 0
	return h.change("answered", now)
}

// Failed notes that an opening was refused or not answered.
func (h *Health) Failed(now time.Duration) (changed bool) {
	h.failures++
	if h.failures < FailuresInRow && !h.OnTrial() {
		return false
	}
	return h.fail(now)
}

// Ejected takes the upstream out at once, on evidence of more than one flow.
func (h *Health) Ejected(now time.Duration) (changed bool) {
	h.failures = FailuresInRow
	return h.fail(now)
}

func (h *Health) fail(now time.Duration) (changed bool) {
	if h.OnTrial() {
		h.trials++
	}
	return h.change("failed", now)
}

// retryAfter returns how long the upstream gets no openings now.
func (h *Health) retryAfter() time.Duration {
	const doublings = 2 // from RetryAfter to RetryAtMost
	return RetryAfter << min(h.trials, doublings)
}

// Tick does what time makes due. warm is how long an upstream warms up.
func (h *Health) Tick(now, warm time.Duration) (changed bool) {
	switch {
	case chart.Has(h.current(), rampsMark) && now-h.since >= warm:
		return h.change("warmed", now)
	case !h.Opens() && now-h.since >= h.retryAfter():
		return h.change("retry", now)
	}
	return false
}

// Weight returns the share of new flows, 1 unless the upstream is warming.
func (h *Health) Weight(now, warm time.Duration) float64 {
	if !chart.Has(h.current(), rampsMark) {
		return 1
	}
	done := float64(now-h.since) / float64(warm)
	return min(1, rampStart+(1-rampStart)*done)
}

func (h *Health) current() sparchart.State {
	if h.state == "" {
		return chart.Start()
	}
	return h.state
}

func (h *Health) change(event sparchart.Event, now time.Duration) bool {
	before := h.current()
	next := chart.Next(before, event)
	if next == before {
		return false
	}
	h.state, h.since = next, now
	return true
}
