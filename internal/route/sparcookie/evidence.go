package sparcookie

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

const (
	// slowFactor times the usual response time of its service is the age from which on an answer is slow.
	slowFactor = 4
	// overdueFactor times the usual response time of its service is the age at which a request is overdue.
	overdueFactor = 8
	// leastOverdue is the least age at which a request is overdue: an upstream with a full queue
	// answers sooner.
	leastOverdue = 400 * time.Millisecond
	// loadInterval is the time between two counts of the requests under way.
	loadInterval = time.Second
	// pressedShare is the part of the slots of a service at work from which on the load is worth
	// telling other VMs.
	pressedShare = 0.5
)

type (
	// observing is what this VM observes for other VMs.
	observing struct {
		upstreams []*upstream   // with counts for the next Observations
		loadAt    time.Duration // last count of the requests under way
		pressed   bool          // see Pressed
	}

	// serviceState is what this VM sees of a service.
	serviceState struct {
		usual   time.Duration    // response time, as told by SetUsual
		waited  time.Duration    // by the requests answered since the last Observations
		refused int              // openings refused since then
		busy    time.Duration    // waited by the requests answered since the last count of the load
		load    map[string]int   // requests under way, by failure domain, at the last count
		watched []watchedRequest // not hanging yet, oldest first
	}
)

// SetWeight sets the weight of an upstream for new flows by the evidence of several VMs, between
// 0 for an ejected one and 1.
func (e *Engine) SetWeight(id uint64, weight float64) {
	u := e.upstreams[id]
	if u == nil {
		return
	}
	if weight <= 0 && u.evidence.weight > 0 {
		u.evidence.ejectedAt = e.now
	}
	if weight > 0 && u.evidence.weight == 0 {
		e.markBack(u)
	}
	u.evidence.weight = min(1, max(0, weight))
}

// SetUsual sets the usual response time of a service, 0 if it is not known.
func (e *Engine) SetUsual(service string, d time.Duration) { e.serviceOf(service).usual = d }

func (e *Engine) serviceOf(name string) *serviceState {
	s := e.services[name]
	if s == nil {
		s = &serviceState{}
		e.services[name] = s
	}
	return s
}

// forgetServices deletes the state of services without upstreams in the roster.
func (e *Engine) forgetServices() {
	for name := range e.services {
		if e.pools[name] == nil {
			delete(e.services, name)
		}
	}
}

// Services returns the services with upstreams in the roster, in any order.
func (e *Engine) Services() []string { return slices.Collect(maps.Keys(e.services)) }

// Observations returns what this VM has seen of upstreams and services since the last call.
func (e *Engine) Observations() (o sparevidence.Observations) {
	for _, u := range e.observing.upstreams {
		if e.upstreams[u.ID] == u { // otherwise it has restarted, and nothing of before tells of it now
			o.Upstreams = append(o.Upstreams, sparevidence.Observation{ID: u.ID, Counts: u.evidence.seen, Progressed: u.evidence.progressed, Hanging: u.evidence.hanging})
		}
		u.evidence.seen, u.evidence.isObserved, u.evidence.progressed, u.evidence.hanging = sparevidence.Counts{}, false, false, false
	}
	e.observing.upstreams = e.observing.upstreams[:0]
	counted := e.countLoad()
	for name, s := range e.services {
		if s.waited == 0 && s.refused == 0 && !counted {
			continue
		}
		o.Services = append(o.Services, sparevidence.ServiceObservation{Service: name, Waited: s.waited, Refused: s.refused, Load: s.load})
		s.waited, s.refused = 0, 0
	}
	return o
}

// countLoad counts the requests under way, if that is due.
func (e *Engine) countLoad() (counted bool) {
	elapsed := e.now - e.observing.loadAt
	if elapsed < loadInterval {
		return false
	}
	e.observing.loadAt, e.observing.pressed = e.now, false
	for name, p := range e.pools {
		s := e.serviceOf(name)
		s.load = map[string]int{}
		slots := 0
		for _, u := range p.all {
			slots += u.Slots
			if u.load.underWay > 0 {
				s.load[u.Domain] += u.load.underWay
			}
		}
		underWay := float64(s.busy) / float64(elapsed) * float64(len(e.relays)+1)
		e.observing.pressed = e.observing.pressed || s.refused > 0 || underWay >= pressedShare*float64(slots)
		s.busy = 0
	}
	return true
}

// Pressed reports whether half of a service's slots or more were at work between the last two counts,
// if the other VMs had as many requests under way as this one, or openings were refused.
func (e *Engine) Pressed() bool { return e.observing.pressed }

// seenOf returns the counts of u to add to.
func (e *Engine) seenOf(u *upstream) *sparevidence.Counts {
	if !u.evidence.isObserved {
		u.evidence.isObserved = true
		e.observing.upstreams = append(e.observing.upstreams, u)
	}
	return &u.evidence.seen
}

// noteOpened counts an opening that was answered.
func (e *Engine) noteOpened(u *upstream) { e.seenOf(u).Opened++ }

// noteResponse counts the response to the pending request of f. If there is none, a response that
// has counted goes on.
func (e *Engine) noteResponse(f *flow) {
	u := f.upstream
	u.evidence.answeredAt, u.evidence.hanging = e.now, false
	if f.requestedAt == 0 {
		e.seenOf(u)
		u.evidence.progressed = true
		return
	}
	e.endPending(f)
	waited := e.now - f.requestedAt
	counts, s := e.seenOf(u), u.service
	counts.Answered++
	s.waited += waited
	s.busy += waited
	if s.usual > 0 && waited > slowFactor*s.usual {
		counts.Slow++
	}
}

// noteOverdue counts the pending request of f as failed if it is overdue. It is called at a retransmission
// only: while the client sends nothing, its flow may have moved to another VM, which sees the response.
func (e *Engine) noteOverdue(f *flow) {
	usual := f.upstream.service.usual
	if f.requestedAt == 0 || f.overdue || f.closed || usual == 0 || e.JustPaused() {
		return
	}
	if e.now-f.requestedAt >= overdueAfter(usual) {
		f.overdue = true
		e.seenOf(f.upstream).Failed++
	}
}

// overdueAfter returns the age at which a request is overdue where others take the usual time.
func overdueAfter(usual time.Duration) time.Duration { return max(leastOverdue, overdueFactor*usual) }

// noteGivenUp counts a request that its client has given up, unless it was overdue before.
func (e *Engine) noteGivenUp(f *flow) {
	e.endPending(f)
	usual := f.upstream.service.usual
	if !f.overdue && e.now-f.requestedAt >= overdueAfter(usual) {
		e.seenOf(f.upstream).Failed++
	}
}

// noteRefused counts an opening that no upstream of a route takes.
func (e *Engine) noteRefused(rec *routeRecord) {
	for _, t := range rec.route.Targets {
		if t.Weight > 0 && e.pools[t.Service] != nil {
			e.serviceOf(t.Service).refused++
			return
		}
	}
}

// beginPending counts a new request as under way, unless its flow is not on record.
func (e *Engine) beginPending(f *flow) {
	f.overdue = false
	if !f.closed {
		f.upstream.load.underWay++
		e.watchResponse(f)
	}
}

// endPending ends the pending request of f, if it counts as under way.
func (e *Engine) endPending(f *flow) {
	if f.requestedAt > 0 && !f.closed {
		f.upstream.load.underWay--
	}
}
