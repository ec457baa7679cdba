package sparadmit

import (
	"slices"
	"time"
)

const (
	// baseWindow is the least time over which a median response time is taken.
	baseWindow = time.Second
	// baseResponses is the number of responses in it.
	baseResponses = 15
	// leastGain is the weight of the last median in their mean, once there are enough of them.
	leastGain = 0.1
	// maxDeviation limits what one median changes. At the start of an overload, the requests
	// under way are not known yet.
	maxDeviation = 0.25
	// objectiveShare is the part of the latency objective that a request may queue.
	objectiveShare = 0.25
	// baseShare is the number of response times without queueing that a request may queue.
	baseShare = 1.5
	// leastAllowed keeps ratios to the allowed time finite.
	leastAllowed = time.Millisecond
	// rejectedShare is the part of the usual response time below which a response counts as
	// the rejection of a full upstream.
	rejectedShare = 0.5
)

// Times is the response times of one route at one service. Create it with NewTimes.
type Times struct {
	objective time.Duration // latency objective, 0 if there is none
	base      time.Duration // response time without queueing, 0 if unknown
	medians   int           // that the base has been taken from
	began     time.Duration // start of the window
	count     int           // responses in the window
	window    [baseResponses]time.Duration
}

// NewTimes returns the times of a route with a latency objective, 0 if there is none.
func NewTimes(objective time.Duration) *Times { return &Times{objective: objective} }

// SetObjective changes the latency objective.
func (t *Times) SetObjective(objective time.Duration) { t.objective = objective }

// Base returns the response time without queueing, 0 if it is unknown.
func (t *Times) Base() time.Duration { return t.base }

// Allowed returns how long a request of the route may queue.
func (t *Times) Allowed() time.Duration {
	allowed := time.Duration(baseShare * float64(t.base))
	if t.objective > 0 {
		allowed = min(allowed, time.Duration(objectiveShare*float64(t.objective)))
	}
	return max(allowed, leastAllowed)
}

// queueing returns how long a request has queued, in parts of the allowed time. ok is false if
// nothing can be said: the base is unknown, or the response is likely a rejection.
func (t *Times) queueing(waited time.Duration) (parts float64, ok bool) {
	if t.base == 0 || t.rejected(waited) {
		return 0, false
	}
	return max(0, float64(waited-t.base)/float64(t.Allowed())), true
}

// rejected reports whether a response is likely the rejection of a full upstream.
func (t *Times) rejected(waited time.Duration) bool {
	return float64(waited) < rejectedShare*float64(t.base)
}

// late reports whether a response took longer than the objective lets a request queue.
func (t *Times) late(waited time.Duration) bool {
	return t.objective > 0 && float64(waited) > objectiveShare*float64(t.objective)
}

// observe updates the response time without queueing: the mean of the medians of windows. While
// slots are taken it may fall but not rise, so that an overload isn't taken for normal, and
// rejections are left out. While slots are free upstreams reject little: the service has become faster.
func (t *Times) observe(now, waited time.Duration, slotsFree bool) {
	if !slotsFree && t.rejected(waited) {
		return
	}
	if t.count == 0 {
		t.began = now
	}
	t.window[t.count%baseResponses] = waited
	t.count++
	if t.count < baseResponses || t.base > 0 && now-t.began < baseWindow {
		return
	}
	t.count = 0
	sorted := t.window
	slices.Sort(sorted[:])
	median := sorted[baseResponses/2]
	if slotsFree || median < t.base { // not if the base is unknown
		t.medians++
		gain := max(leastGain, 1/float64(t.medians))
		change := median - t.base
		if t.base > 0 {
			limit := time.Duration(maxDeviation * float64(t.base))
			change = min(max(change, -limit), limit)
		}
		t.base += time.Duration(gain * float64(change))
	}
}
