// Package sparcookie routes packets on a fabric that echoes a cookie.
//
// Both ends of a flow echo the last cookie that they received. The cookie identifies
// the upstream, so a VM can forward packets of a flow that it has never seen. VMs need
// not share flow state: each one derives the same table of cookies from the roster:
//
//	e := sparcookie.New("vm-1", "north", 10_000)
//	e.Advance(now)
//	e.Apply(roster)
//	switch v := e.Forward(segment); v.Action {
//	case sparcookie.ToUpstream:
//		// send to v.At, addressed to v.ID, with v.Cookie
//	case sparcookie.Reset:
//		// reset the connection; the client opens a new one
//	}
//
// An Engine does no I/O and reads no clock. Its flow records show the health and load
// of upstreams. A lost record breaks no flow.
package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	// MaxFlowAge is the longest lifetime of a flow on a fabric of this kind.
	MaxFlowAge = 60 * time.Second

	// retainRemoved is how long an upstream stays known after its removal from the
	// roster: the longest lifetime of a flow and some time for its last packets.
	retainRemoved = MaxFlowAge + 30*time.Second

	sweepInterval = time.Second
)

type (
	// Engine is the routing state of one VM. Create it with New.
	Engine struct {
		name   string
		domain string // failure domain of this VM
		now    time.Duration
		fresh  bool // the roster is recent enough to refuse flows on its basis

		// Derived from the roster, with what was observed.
		roster    sparroster.Roster
		routes    map[sparflow.Endpoint]*routeRecord
		upstreams map[uint64]*upstream // also those removed lately
		cookies   map[Cookie]*upstream
		pools     map[string]*pool         // upstreams in the roster, by service
		services  map[string]*serviceState // with upstreams in the roster
		domains   map[string]*domainState
		domainVMs int     // VMs of this failure domain, this one included
		relays    []relay // other VMs

		flows     map[flowKey]*flow
		maxFlows  int
		lastSweep time.Duration // last deletion of expired records

		openings   []opening     // SYNs whose response is not yet due, oldest first
		checkedAt  time.Duration // last check of openings
		pausedAt   time.Duration // end of the last pause of this VM
		staleUntil time.Duration // until when SYNs may have waited for the end of a long pause
		distrust   bool          // set by assess, for one service: suspect failure domains are avoided, unless all are suspect

		observing observing
		asking    asking
		probeSeed int      // of this VM, in the order of the upstreams of a suspect domain to probe
		hedges    *hedging // nil if no openings are hedged
		admission admission
		warm      warmLimits

		events []Event
		stats  Stats
	}

	// routeRecord is the route of an address, with the services that it named earlier.
	routeRecord struct {
		route    sparroster.Route
		live     bool            // in the roster
		since    time.Duration   // when this VM first saw the route
		services map[string]bool // all services that this VM has seen in the route
		times    routeTimes      // of its requests
	}

	// pool is the upstreams of a service that are in the roster, ordered by ID.
	pool struct {
		local   []*upstream // in the failure domain of this VM
		all     []*upstream
		domains []*domainState // with upstreams of the service, the one of this VM first
	}
)

// New returns an engine for the VM called name in the failure domain. It keeps records
// of at most maxFlows flows.
func New(name, domain string, maxFlows int) *Engine {
	return &Engine{
		name: name, domain: domain, maxFlows: maxFlows,
		routes: map[sparflow.Endpoint]*routeRecord{}, upstreams: map[uint64]*upstream{},
		cookies: map[Cookie]*upstream{}, pools: map[string]*pool{}, flows: map[flowKey]*flow{},
		domains: map[string]*domainState{}, services: map[string]*serviceState{},
		asking: asking{marks: map[uint64]*upstream{}}, probeSeed: int(uint32(sparrank.Hash(name))),
	}
}

// Advance sets the monotonic time for the calls that follow.
func (e *Engine) Advance(now time.Duration) { e.now = now }

// SetFresh sets whether the roster is recent enough to refuse flows on its basis.
func (e *Engine) SetFresh(fresh bool) { e.fresh = fresh }

// Roster returns the settings in force.
func (e *Engine) Roster() sparroster.Roster { return e.roster }

// Apply replaces the settings in force.
func (e *Engine) Apply(r sparroster.Roster) {
	if e.roster.At.IsZero() {
		e.pausedAt = e.now // packets have waited for the settings
	}
	e.roster = r
	e.applyRoutes(r)
	e.applyUpstreams(r)
	e.assignCookies()
	e.applyVMs(r.VMs)
	e.applyWarm(r)
}

func (e *Engine) applyRoutes(r sparroster.Roster) {
	for _, rec := range e.routes {
		rec.live = false
	}
	for _, at := range r.Addresses() {
		route, _ := r.Route(at)
		rec := e.routes[at]
		if rec == nil {
			rec = &routeRecord{since: e.now, services: map[string]bool{}}
			e.routes[at] = rec
		}
		rec.route, rec.live = route, true
		for _, t := range route.Targets {
			rec.services[t.Service] = true
		}
	}
}

// Tick runs the work that is due at the current time: it notes SYNs and requests that were not
// answered in time, ends ejections, so that a SYN can probe the upstream, updates admission and the
// limits of warm-ups, and deletes expired records.
func (e *Engine) Tick() {
	e.checkOpenings()
	e.checkHanging()
	for _, u := range e.upstreams {
		if !u.removed && u.health.Tick(e.now, 0) {
			u.syn.unansweredSince = 0 // only the SYN of the probe counts from here on
			e.emitHealth(u, true)
		}
	}
	e.tickWarm()
	e.tickAdmission()
	if e.now-e.lastSweep < sweepInterval {
		return
	}
	e.lastSweep = e.now
	e.sweepFlows()
	e.deleteRemoved()
}

// UpstreamState is the load and health of one upstream as seen by this VM.
type UpstreamState struct {
	Upstream sparroster.Upstream
	Flows    int  // open flows on record
	Healthy  bool // its health allows new flows
}

// UpstreamStates returns the state of each upstream in the roster whose entry can be used, in the order of
// the roster.
func (e *Engine) UpstreamStates() []UpstreamState {
	states := make([]UpstreamState, 0, len(e.roster.Upstreams))
	for _, entry := range e.roster.Upstreams {
		u := e.upstreams[entry.ID]
		if u.unusable {
			continue
		}
		states = append(states, UpstreamState{Upstream: entry, Flows: u.load.flows, Healthy: u.health.AcceptsFlows()})
	}
	return states
}
