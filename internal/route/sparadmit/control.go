package sparadmit

import (
	"slices"
	"time"
)

const (
	// startWindows is the number of windows in a row that begin an overload.
	startWindows = 3

	// fullLoad is the number of requests under way per slot from which all slots are taken. The load of
	// the other VMs is an estimate, and requests on the path count in it.
	fullLoad = 1.25
	// fullLoadRefusing and fullLoadAlone replace fullLoad while flows are refused: with a recent view, and
	// without one. A VM without a view that refuses more than others has less load than they have.
	fullLoadRefusing = 1.0
	fullLoadAlone    = 0.5
	// lowLoad is the number of requests under way per slot below which few requests queue.
	lowLoad = 0.7
	// unknownOverload is the number of requests under way per slot that means overload if nothing
	// is known of response times.
	unknownOverload = 3.0
	// maxQueueing limits the queueing delay that the control responds to, as a multiple of the allowed one.
	maxQueueing = 3.0
	// integralGain is the growth of the refused share per second at twice the allowed delay.
	integralGain = 1.0
	// trendGain is the growth of the refused share as the delay grows by the allowed one.
	trendGain = 0.2
	// releaseBelow is the delay, as a multiple of the allowed one, below which releaseGain replaces
	// integralGain, so that slots are not left free.
	releaseBelow = 0.5
	releaseGain  = 2.0
	// decay is the rate, per second, at which the refused share decays, so that the shares of VMs
	// do not drift apart.
	decay = 1.2
	// leastRefused is the share below which nothing is refused: a single window of delays by chance
	// stays below it.
	leastRefused = 0.05
	// quietTime is how long nothing is refused before an overload counts as over.
	quietTime = time.Second
)

// control sets the share of refused flows from a window.
func (l *Limiter) control(now, length time.Duration) {
	before, queueing := l.queueing, l.windowQueueing(now)
	l.countDelayed(now, queueing > 1)
	l.queueing = l.confirmed(now, queueing)
	if l.refused == 0 && (l.delayed < startWindows || l.queueing <= 1) {
		l.end(now)
		return
	}
	gain := integralGain
	if l.queueing < releaseBelow {
		gain = releaseGain
	}
	seconds := length.Seconds()
	trend := min(max(l.queueing-before, -1), 1)
	l.refused += gain*seconds*(l.queueing-1) + trendGain*trend - decay*seconds*l.refused
	l.refused = min(max(l.refused, 0), 1-floor)
	if l.share() == 0 {
		l.end(now)
		return
	}
	l.lastShed = now
	if l.since == 0 {
		l.since = now
	}
}

// countDelayed counts the windows in a row in which requests have queued for longer than allowed.
func (l *Limiter) countDelayed(now time.Duration, delayed bool) {
	if !delayed {
		l.delayed = 0
		return
	}
	if !l.Delayed() {
		l.placed.reset(now)
	}
	l.delayed++
}

// share returns the share of new flows that is refused.
func (l *Limiter) share() float64 {
	if l.refused < leastRefused {
		return 0
	}
	return l.refused
}

// windowQueueing returns the median queueing delay of the window as a multiple of the allowed one, or 0
// while slots are free.
func (l *Limiter) windowQueueing(now time.Duration) float64 {
	perSlot := l.perSlot(now)
	switch {
	case perSlot < l.fullFrom(now), l.relieved(now):
		return 0
	case len(l.queued) >= minResponses:
		slices.Sort(l.queued)
		return min(l.queued[len(l.queued)/2], maxQueueing)
	case l.answered >= minResponses:
		return min(perSlot/unknownOverload, maxQueueing) // response times are not known yet
	}
	return 0
}

// fullFrom returns the requests under way per slot from which all slots are taken.
func (l *Limiter) fullFrom(now time.Duration) float64 {
	switch {
	case l.refused == 0:
		return fullLoad
	case l.viewed(now):
		return fullLoadRefusing
	}
	return fullLoadAlone
}

// end ends an overload after some time without refusals.
func (l *Limiter) end(now time.Duration) {
	if l.since > 0 && now-l.lastShed >= quietTime {
		l.since = 0
	}
}
