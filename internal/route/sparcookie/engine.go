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
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
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
		name      string
		domain    string
		now       time.Duration
		fresh     bool
		roster    sparroster.Roster
		routes    map[sparflow.Endpoint]*routeRecord
		upstreams map[uint64]*upstream
		cookies   map[Cookie]*upstream
		pools     map[string]*pool // upstreams in the roster, by service
		domainVMs int              // VMs of this failure domain, this one included
		relays    []relay          // other VMs
		domains   map[string]*domainState
		openings  []opening     // SYNs whose response is not yet due, oldest first
		checkedAt time.Duration // last check of openings
		pausedAt  time.Duration // end of the last pause of this VM
		distrust  bool          // set by assess, for one service: suspect failure domains are avoided, unless all are suspect
		services  map[string]*serviceState
		observed  []*upstream // with counts for the next Observations
		pressed   bool
		loadAt    time.Duration // last count of the requests under way
		probeSeed int           // of this VM, in the ranking of upstreams to probe
		marks     map[uint64]*upstream
		suspects  []*upstream // for the next Suspects
		flows     map[flowKey]*flow
		maxFlows  int
		lastSweep time.Duration
		hedges    *hedging // nil if no openings are hedged
		admission admission
		events    []Event
		stats     Stats
		warm      warmLimits
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

	// upstream is a server with the observations of this VM.
	upstream struct {
		sparroster.Upstream
		cookie          Cookie
		removed         bool // no longer in the roster
		unusable        bool // in the roster with an entry that can't be used
		removedAt       time.Duration
		evacuated       bool          // its failure domain is evacuated
		warmUntil       time.Duration // end of the warm-up
		flows           int           // open flows on record
		recent          decayingCount // requests over recentSpan
		rate            decayingCount // requests over rateSpan
		abandoned       decayingCount // requests that clients gave up unanswered, over abandonedSpan
		lastResponse    time.Duration // last sign that a client received a packet from it
		aliveAt         time.Duration // last time at which it is known to have run
		pendingSince    time.Duration // first SYN sent since lastResponse, 0 if there is none
		unansweredFlows int           // flows with an unanswered retransmission since lastResponse
		silentFlows     int           // retransmissions without a response since aliveAt
		health          sparhealth.Health
		lastSYN         time.Duration
		races           lostRaces
		avoidedAt       time.Duration // when an opening at it was last due for a hedge
		quota           *warmQuota    // nil if its service has no warm rate
		domain          *domainState
		service         *serviceState
		weight          float64             // by the evidence of several VMs, 0 if that ejects it
		underWay        int                 // requests under way of flows on record
		seen            sparevidence.Counts // since the last Observations
		isObserved      bool                // it is in Engine.observed
		progressed      bool                // a response went on since the last Observations
		hanging         bool                // a request hangs since then, see noteHanging
		answeredAt      time.Duration       // last request that was answered, or last progress of a response
		ejectedAt       time.Duration       // when its weight became 0 last
		silentAt        time.Duration       // when it was last found to leave a SYN unanswered
		slowStartUntil  time.Duration       // end of the time after its return in which it gets less load
		death           goneState
	}
)

// New returns an engine for the VM called name in the failure domain. It keeps records
// of at most maxFlows flows.
func New(name, domain string, maxFlows int) *Engine {
	return &Engine{
		name: name, domain: domain, maxFlows: maxFlows, probeSeed: int(uint32(sparrank.Hash(name))),
		routes: map[sparflow.Endpoint]*routeRecord{}, upstreams: map[uint64]*upstream{},
		cookies: map[Cookie]*upstream{}, pools: map[string]*pool{}, flows: map[flowKey]*flow{},
		domains: map[string]*domainState{}, services: map[string]*serviceState{},
		marks: map[uint64]*upstream{},
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

// Tick runs the work that is due at the current time: it ends ejections, so that a SYN can
// probe the upstream, and deletes expired records.
func (e *Engine) Tick() {
	e.checkOpenings()
	e.checkWaiting()
	for _, u := range e.upstreams {
		if !u.removed && u.health.Tick(e.now, 0) {
			u.pendingSince = 0 // only the SYN of the probe counts from here on
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

// UpstreamStates returns the state of each upstream in the roster, in the order of the roster.
func (e *Engine) UpstreamStates() []UpstreamState {
	states := make([]UpstreamState, 0, len(e.roster.Upstreams))
	for _, entry := range e.roster.Upstreams {
		u := e.upstreams[entry.ID]
		states = append(states, UpstreamState{Upstream: entry, Flows: u.flows, Healthy: u.health.AcceptsFlows()})
	}
	return states
}
