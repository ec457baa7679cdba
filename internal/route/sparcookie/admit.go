package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
)

// poolInterval is the least time between two counts of the slots of the upstreams.
const poolInterval = 100 * time.Millisecond

type (
	// admission is the state of admission control.
	admission struct {
		limiters map[string]*sparadmit.Limiter // by service, of those that have had flows
		overload map[string]bool               // services for which the start was reported
		refused  [sparadmit.MaxPriority + 1]uint64
		counted  time.Duration // last count of slots
	}

	// routeTimes is the response times of a route by service.
	routeTimes map[string]*sparadmit.Times

	// OverloadChanged reports that this VM begins to refuse flows of a service because of
	// overload, or that it has stopped.
	OverloadChanged struct {
		Service string
		Began   bool
		State   sparadmit.State
	}
)

func (OverloadChanged) event() {}

// limiter returns the limiter of a service.
func (e *Engine) limiter(service string) *sparadmit.Limiter {
	l := e.admission.limiters[service]
	if l == nil {
		if e.admission.limiters == nil {
			e.admission.limiters = map[string]*sparadmit.Limiter{}
		}
		l = sparadmit.New()
		e.admission.limiters[service] = l
		e.setPool(service, l)
	}
	return l
}

// admits reports whether a new flow is admitted. Flows of routes without a latency objective
// always are, and so are copies of a SYN, since another VM may have placed the first one.
func (e *Engine) admits(rec *routeRecord, key flowKey, s Segment) bool {
	if rec.route.Target == 0 || s.Ack > 0 {
		return true
	}
	opening := sparadmit.Opening{Client: key.client.IP(), Priority: rec.route.Priority}
	if e.limiter(e.pickService(rec, key)).Admit(e.now, opening) {
		return true
	}
	e.admission.refused[sparadmit.ClassOf(opening.Priority)]++
	e.suspendHedges()
	return false
}

// noteWaited records how long the client of a flow waited for a SYN-ACK or a response. Acknowledgements
// that come with data are left out: the client may have sent them long after the response.
func (e *Engine) noteWaited(rec *routeRecord, f *flow, s Segment, obs observation) {
	if !obs.answered || obs.waited == 0 {
		return
	}
	service := f.upstream.Service
	l := e.limiter(service)
	switch {
	case obs.first:
		l.Opened(obs.waited)
	case s.Size == 0:
		l.Response(e.now, sparadmit.Answer{Route: rec.timesOf(service), Waited: obs.waited, Placed: f.placedAt})
	}
}

// timesOf returns the response times of the route at a service.
func (rec *routeRecord) timesOf(service string) *sparadmit.Times {
	t := rec.times[service]
	if t == nil {
		if rec.times == nil {
			rec.times = routeTimes{}
		}
		t = sparadmit.NewTimes(rec.route.Target)
		rec.times[service] = t
	}
	t.SetObjective(rec.route.Target)
	return t
}

// serviceTime returns how long a request to a service occupies a slot, 0 if that is unknown.
func (e *Engine) serviceTime(service string) time.Duration {
	if l := e.admission.limiters[service]; l != nil {
		return l.ServiceTime()
	}
	return 0
}

// queueing reports whether requests to a service queue for longer than allowed.
func (e *Engine) queueing(service string) bool {
	l := e.admission.limiters[service]
	return l != nil && l.Delayed()
}

// tickAdmission does the periodic work of admission control.
func (e *Engine) tickAdmission() {
	if e.now-e.admission.counted < poolInterval {
		return
	}
	e.admission.counted = e.now
	for service, l := range e.admission.limiters {
		if e.pools[service] == nil {
			e.emitOverload(service, sparadmit.State{})
			delete(e.admission.limiters, service)
			continue
		}
		e.setPool(service, l)
		l.Advance(e.now)
		e.emitOverload(service, l.State(e.now))
	}
}

// setPool tells a limiter the slots of the upstreams that take new flows.
func (e *Engine) setPool(service string, l *sparadmit.Limiter) {
	l.SetPool(e.slotsOf(service), len(e.roster.VMs))
}

// slotsOf returns the slots of the upstreams of a service that take new flows.
func (e *Engine) slotsOf(service string) (slots int) {
	p := e.pools[service]
	if p == nil {
		return 0
	}
	for _, u := range p.all {
		if e.takesFlows(u) && u.health.AcceptsFlows() {
			slots += u.Slots
		}
	}
	return slots
}

// emitOverload emits an event when the overload of a service begins or ends.
func (e *Engine) emitOverload(service string, state sparadmit.State) {
	began := state.Began > 0
	if began == e.admission.overload[service] {
		return
	}
	if e.admission.overload == nil {
		e.admission.overload = map[string]bool{}
	}
	e.admission.overload[service] = began
	if !began {
		delete(e.admission.overload, service)
	}
	e.emit(OverloadChanged{Service: service, Began: began, State: state})
}

// SetAdmissionView sets the requests to a service that are under way at all VMs, by reports of vms of
// them that are as old as age. Without recent ones, the load of this VM is taken for that of each VM.
func (e *Engine) SetAdmissionView(service string, requests float64, vms int, age time.Duration) {
	if l := e.admission.limiters[service]; l != nil {
		l.SetView(e.now, sparadmit.View{Pending: requests, Slots: e.slotsOf(service), VMs: vms, Age: age})
	}
}

// AdmissionStates returns the admission state of each service that has had flows.
func (e *Engine) AdmissionStates() map[string]sparadmit.State {
	states := make(map[string]sparadmit.State, len(e.admission.limiters))
	for service, l := range e.admission.limiters {
		states[service] = l.State(e.now)
	}
	return states
}

// AdmissionOf returns the route's service that a new flow would go to, its admission state, and
// the priority and latency objective of the route.
func (e *Engine) AdmissionOf(s Segment) (a Admission) {
	rec := e.routes[s.To]
	if rec == nil {
		return a
	}
	a.Service = e.pickService(rec, keyOf(s))
	a.Priority, a.Target = rec.route.Priority, rec.route.Target
	if l := e.admission.limiters[a.Service]; l != nil {
		a.State = l.State(e.now)
	}
	return a
}

// Admission explains why a flow was refused because of overload.
type Admission struct {
	Service  string
	Priority int
	Target   time.Duration // latency objective
	State    sparadmit.State
}

// RejectedOpenings returns the number of flows that were refused because of overload, by priority.
func (e *Engine) RejectedOpenings() [sparadmit.MaxPriority + 1]uint64 { return e.admission.refused }
