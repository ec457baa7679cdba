package sparadmit

import (
	"slices"
	"time"
)

const (
	// placedSpan is how long the queueing delay of a request on a new flow counts.
	placedSpan = time.Second
	// maxPlaced is the number of such delays that are kept.
	maxPlaced = 2 * minResponses
	// lateShare is the part of late responses that shows a queue while response times are not known.
	// Full upstreams reject at once, so that fewer than half may be late.
	lateShare = 1.0 / 3
)

type (
	// placedDelays is the queueing delays of requests on flows that this VM has placed since requests
	// began to queue. From then on new flows may go to all failure domains, so that these delays are
	// what the next flow has to expect. Other requests may queue at an upstream to which an
	// open flow binds them, while slots are free elsewhere.
	placedDelays struct {
		since  time.Duration // flows placed before don't count
		delays [maxPlaced]placedDelay
		next   int
	}

	// placedDelay is the queueing delay of one request, as a multiple of the allowed one.
	placedDelay struct {
		at       time.Duration
		queueing float64
	}
)

// reset forgets all delays. Only flows that are placed from now on count.
func (p *placedDelays) reset(now time.Duration) { *p = placedDelays{since: now} }

// add adds the delay of a request on a flow that this VM placed at some time, 0 if another VM did.
func (p *placedDelays) add(now, placed time.Duration, queueing float64) {
	if placed == 0 || placed < p.since {
		return
	}
	p.delays[p.next] = placedDelay{at: now, queueing: queueing}
	p.next = (p.next + 1) % maxPlaced
}

// median returns the median of the recent delays. ok is false if there are too few.
func (p *placedDelays) median(now time.Duration) (queueing float64, ok bool) {
	var recent []float64
	for _, d := range p.delays {
		if d.at > 0 && now-d.at < placedSpan {
			recent = append(recent, d.queueing)
		}
	}
	if len(recent) < minResponses {
		return 0, false
	}
	slices.Sort(recent)
	return min(recent[len(recent)/2], maxQueueing), true
}

// confirmed returns the part of the queueing delay that may lead to refusals: requests on new flows
// must queue as well, at whichever upstream these are placed.
func (l *Limiter) confirmed(now time.Duration, queueing float64) float64 {
	placed, ok := l.placed.median(now)
	known := l.base > 0
	switch {
	case ok:
		return min(queueing, placed)
	case known && l.refused > 0:
		return queueing // few flows are left to tell
	case !known && float64(l.late) > lateShare*float64(l.answered):
		return queueing
	}
	return 0
}
