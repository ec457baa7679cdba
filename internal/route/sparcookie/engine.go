// Package sparcookie decides where packets go on a fabric that echoes a cookie.
//
// Both ends of a flow repeat the last cookie that they received, so a VM that never
// saw a flow reads its upstream off the packet. VMs agree on flows by agreeing on
// one table, cookie to upstream, which follows from the roster alone:
//
//	e := sparcookie.New("vm-1", "north", 10_000)
//	e.Advance(now)
//	e.Apply(roster)
//	switch v := e.Forward(segment); v.Action {
//	case sparcookie.ToUpstream:
//		// send to v.At, addressed to v.ID, with v.Cookie
//	case sparcookie.Reset:
//		// tell the caller to come again
//	}
//
// An Engine does no I/O and reads no clock. What it records of a flow is evidence
// about its upstream and load; losing the record breaks nothing.
package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	// FlowLife is how long a flow may live on a fabric of this kind.
	FlowLife = 60 * time.Second

	// rememberGone is how long an upstream is known after it left the roster: the
	// longest life of a flow and time for its last packets.
	rememberGone = FlowLife + 30*time.Second

	sweepEvery = time.Second
)

type (
	// Engine is the routing state of one VM. Use New.
	Engine struct {
		name      string
		domain    string
		now       time.Duration
		fresh     bool
		roster    sparroster.Roster
		paths     map[sparflow.Endpoint]*path
		upstreams map[uint64]*upstream
		cookies   map[Cookie]*upstream
		services  map[string]*members // in the roster
		siblings  int                 // VMs of this failure domain, this one included
		helpers   []helper            // other VMs
		flows     map[flowKey]*flow
		maxFlows  int
		swept     time.Duration
		events    []Event
		stats     Stats
	}

	// path is an address with its route, and what the route was earlier.
	path struct {
		route    sparroster.Route
		live     bool            // the roster has the route
		since    time.Duration   // first seen here
		services map[string]bool // every service that the route ever listed here
	}

	// members is the upstreams of a service, by id.
	members struct {
		local []*upstream // of the failure domain of this VM
		all   []*upstream
	}

	// upstream is a server with what this VM has seen of it.
	upstream struct {
		sparroster.Upstream
		cookie  Cookie
		gone    bool // not in the roster any more
		left    time.Duration
		warmed  time.Duration // end of its warm-up
		flows   int           // open ones that pass this VM
		recent  rate          // requests of late, over recentSpan
		pace    rate          // the same over paceSpan
		lost    rate          // requests that callers gave up unanswered, over lostSpan
		heard   time.Duration // last sign that a packet of it reached a caller
		pending time.Duration // first opening sent since then, 0 where all were answered
		strikes int           // flows that have repeated a packet in vain since then
		health  sparhealth.Health
		placed  time.Duration // last opening sent to it
	}
)

// New returns an engine for the VM called name in a failure domain, with records of at
// most maxFlows flows.
func New(name, domain string, maxFlows int) *Engine {
	return &Engine{
		name: name, domain: domain, maxFlows: maxFlows,
		paths: map[sparflow.Endpoint]*path{}, upstreams: map[uint64]*upstream{},
		cookies: map[Cookie]*upstream{}, services: map[string]*members{}, flows: map[flowKey]*flow{},
	}
}

// Advance sets the monotonic time for the calls that follow.
func (e *Engine) Advance(now time.Duration) { e.now = now }

// Fresh says whether the roster is recent enough to refuse by.
func (e *Engine) Fresh(fresh bool) { e.fresh = fresh }

// Roster returns the settings in force.
func (e *Engine) Roster() sparroster.Roster { return e.roster }

// Apply takes the settings in force.
func (e *Engine) Apply(r sparroster.Roster) {
	e.roster = r
	e.applyRoutes(r)
	e.applyUpstreams(r)
	e.assign()
	e.applyHelpers(r.VMs)
}

func (e *Engine) applyRoutes(r sparroster.Roster) {
	for _, p := range e.paths {
		p.live = false
	}
	for _, at := range r.Addresses() {
		route, _ := r.Route(at)
		p := e.paths[at]
		if p == nil {
			p = &path{since: e.now, services: map[string]bool{}}
			e.paths[at] = p
		}
		p.route, p.live = route, true
		for _, t := range route.Targets {
			p.services[t.Service] = true
		}
	}
}

func (e *Engine) applyUpstreams(r sparroster.Roster) {
	listed := map[uint64]bool{}
	clear(e.services)
	for _, one := range r.Upstreams {
		listed[one.ID] = true
		u := e.upstreams[one.ID]
		if u == nil || u.Born != one.Born || u.Service != one.Service {
			u = e.join(u, one)
		}
		if u.Draining != one.Draining || u.gone {
			e.emit(UpstreamListed{Upstream: one})
		}
		u.Upstream, u.gone = one, false
		u.warmed = max(u.warmed, e.now+one.Warm)
		if one.Warm == 0 {
			u.warmed = 0
		}
		e.member(u)
	}
	for id, u := range e.upstreams {
		if !listed[id] && !u.gone {
			u.gone, u.left = true, e.now
			e.emit(UpstreamLeft{Upstream: u.Upstream})
		}
	}
}

// member adds an upstream to those of its service.
func (e *Engine) member(u *upstream) {
	m := e.services[u.Service]
	if m == nil {
		m = &members{}
		e.services[u.Service] = m
	}
	m.all = append(m.all, u)
	if u.Domain == e.domain {
		m.local = append(m.local, u)
	}
}

// join starts the record of an upstream that is new or was started again. Flows of
// its earlier life count no more.
func (e *Engine) join(before *upstream, one sparroster.Upstream) *upstream {
	u := &upstream{Upstream: one}
	if before != nil {
		u.cookie = before.cookie
		for key, f := range e.flows {
			if f.upstream == before {
				delete(e.flows, key)
			}
		}
	}
	e.upstreams[one.ID] = u
	e.emit(UpstreamListed{Upstream: one})
	return u
}

// Tick does what time makes due.
func (e *Engine) Tick() {
	for _, u := range e.upstreams {
		if !u.gone && u.health.Tick(e.now, 0) {
			u.pending = 0 // the trial is judged by its own opening
			e.judge(u, true)
		}
	}
	if e.now-e.swept < sweepEvery {
		return
	}
	e.swept = e.now
	e.sweepFlows()
	e.forgetGone()
}

func (e *Engine) forgetGone() {
	forgotten := false
	for id, u := range e.upstreams {
		if u.gone && e.now-u.left > rememberGone {
			delete(e.upstreams, id)
			forgotten = true
		}
	}
	if forgotten {
		e.assign()
	}
}

// Use is what this VM knows about the use of one upstream.
type Use struct {
	Upstream sparroster.Upstream
	Flows    int  // open flows seen here
	Healthy  bool // the flows seen here do not speak against it
}

// Uses returns the use of each upstream of the roster, in the order of the roster.
func (e *Engine) Uses() []Use {
	uses := make([]Use, 0, len(e.roster.Upstreams))
	for _, one := range e.roster.Upstreams {
		u := e.upstreams[one.ID]
		uses = append(uses, Use{Upstream: one, Flows: u.flows, Healthy: u.health.Opens()})
	}
	return uses
}
