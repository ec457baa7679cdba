// Package sparadmit decides which new flows of an overloaded service are refused.
//
// A Limiter observes one service. It is told of each request and response, and asked about
// each new flow:
//
//	l := sparadmit.New()
//	l.SetPool(slots, vms)
//	route := sparadmit.NewTimes(400 * time.Millisecond)
//	l.Request(now)
//	l.Response(now, sparadmit.Answer{Route: route, Waited: waited, Placed: placed})
//	if !l.Admit(now, sparadmit.Opening{Client: client, Priority: 2}) {
//		// refuse the flow
//	}
//
// The share of flows that it refuses follows from the queueing delay of responses, once requests on new
// flows queue as well. The least urgent priority is refused first. Limiters of several VMs before the same upstreams converge
// to the same share without messages. A Limiter does no I/O and reads no clock.
package sparadmit

import "time"

const (
	// interval is the least length of a window of observations.
	interval = 100 * time.Millisecond
	// maxInterval ends a window that has too few responses, and maxRefusing one while flows are refused: a
	// VM that refuses most of its flows sees little, also when the overload is over.
	maxInterval = time.Second
	maxRefusing = 300 * time.Millisecond
	// minResponses is the number of responses that a window needs for a decision.
	minResponses = 8
	// maxResponses is the number of responses of a window that are kept.
	maxResponses = 64
	// manyResponses is the number of responses that ends a window even if few of them tell the
	// queueing delay.
	manyResponses = 3 * minResponses
	// minWindows is the number of windows after which the requests under way are known.
	minWindows = 3
)

type (
	// State is what a Limiter knows, for logs and metrics.
	State struct {
		Refused  float64 // share of new flows that is refused
		Pending  float64 // requests under way at all VMs
		VMs      int     // on whose reports Pending rests, 1 if it is taken from this VM alone
		Slots    int
		Queueing float64       // median queueing delay that counts, as a multiple of the allowed one
		Response time.Duration // mean response time
		Service  time.Duration // time that a request occupies a slot
		Began    time.Duration // start of the overload, or 0
	}

	// Answer is the response to a request.
	Answer struct {
		Route  *Times
		Waited time.Duration // since the request
		Placed time.Duration // when this VM placed its flow, 0 if another VM did
	}

	// Limiter is the admission state of one service. Create it with New.
	Limiter struct {
		view     View          // last one
		viewAt   time.Duration // when it was set
		viewMean float64       // requests under way by the views of the last second
		vms      int           // VMs in the settings
		slots    int           // of the upstreams that take new flows, by the settings
		perOwn   float64       // requests under way at all VMs for each of this VM, by views; 0 if unknown

		began    time.Duration // start of the window
		requests int           // in the window
		waited   time.Duration // sum over the responses of the window
		answered int           // responses in the window
		late     int           // those that took longer than their objective lets a request queue
		queued   []float64     // queueing delays in the window, as a multiple of the allowed ones

		rate     float64 // requests per second
		response float64 // mean response time in seconds
		base     float64 // mean response time without queueing, in seconds
		path     path
		queueing float64 // median delay that counts, of the last window
		windows  int     // that have ended
		delayed  int     // windows in a row in which requests queued for longer than allowed
		placed   placedDelays
		refused  float64       // share of new flows
		since    time.Duration // start of the overload, or 0
		lastShed time.Duration // end of the last window in which flows were refused
		shedder  shedder
	}
)

// New returns the limiter of a service that has seen no load.
func New() *Limiter { return &Limiter{queued: make([]float64, 0, maxResponses)} }

// SetPool sets the slots of the upstreams that take new flows, and the number of VMs.
func (l *Limiter) SetPool(slots, vms int) { l.slots, l.vms = slots, max(vms, 1) }

// SetView sets the load at all VMs. Without a recent one, a Limiter takes its own load for that
// of each VM, unless earlier views have shown that its load is above the mean.
func (l *Limiter) SetView(now time.Duration, v View) {
	if !l.viewed(now) {
		l.viewMean = 0
	}
	l.view, l.viewAt = v, now
	l.viewMean = mix(l.viewMean, v.Pending, viewCount)
	if own := l.pending(now); own >= minOwnPending {
		l.perOwn = mix(l.perOwn, v.Pending/own, meanCount)
	}
}

// Request records a request that is sent to an upstream.
func (l *Limiter) Request(now time.Duration) {
	l.Advance(now)
	l.requests++
}

// Response records the response to a request.
func (l *Limiter) Response(now time.Duration, a Answer) {
	l.Advance(now)
	l.answered++
	l.waited += a.Waited
	waited := max(0, a.Waited-l.path.excess())
	if a.Route.late(waited) {
		l.late++
	}
	if q, ok := a.Route.queueing(waited); ok {
		l.placed.add(now, a.Placed, q)
		if len(l.queued) < maxResponses {
			l.queued = append(l.queued, q)
		}
	}
	a.Route.observe(now, waited, l.slotsFree(now))
	if a.Route.base > 0 {
		l.base = approach(l.base, a.Route.base)
	}
}

// Opened records the wait for a SYN-ACK. It is the time that packets are under way.
func (l *Limiter) Opened(waited time.Duration) { l.path.add(waited) }

// Advance ends the window of observations if it is due.
func (l *Limiter) Advance(now time.Duration) {
	length := now - l.began
	enough := len(l.queued) >= minResponses || l.answered >= manyResponses || l.relieved(now)
	longest := maxInterval
	if l.refused > 0 {
		longest = maxRefusing
	}
	if length < interval || !enough && length < longest {
		return
	}
	if l.began == 0 {
		length = interval // the first window has no start
	}
	l.windows++
	l.average(length)
	l.path.update(min(length, maxInterval), l.slotsFree(now))
	l.control(now, min(length, maxInterval))
	l.began, l.requests, l.waited, l.answered, l.late = now, 0, 0, 0, 0
	l.queued = l.queued[:0]
}

// Delayed reports whether responses of the last window have queued for longer than allowed.
// Then new flows should go to all upstreams before any is refused.
func (l *Limiter) Delayed() bool { return l.delayed > 0 || l.refused > 0 }

// State returns what the limiter knows.
func (l *Limiter) State(now time.Duration) State {
	v := l.load(now)
	return State{
		Refused: l.share(), Pending: v.Pending, VMs: v.VMs, Slots: v.Slots, Queueing: l.queueing,
		Response: time.Duration(l.response * float64(time.Second)), Service: l.ServiceTime(), Began: l.since,
	}
}
