package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhealth"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

type (
	// upstream is a server with the observations of this VM.
	upstream struct {
		sparroster.Upstream
		cookie  Cookie
		domain  *domainState
		service *serviceState

		removed   bool // no longer in the roster
		removedAt time.Duration
		unusable  bool // in the roster with an entry that can't be used
		evacuated bool // its failure domain is evacuated

		lastResponse     time.Duration // last packet by which a client showed that it received one of this upstream
		aliveAt          time.Duration // last time at which it is known to have run, see noteAlive
		unansweredFlows  int           // flows with an unanswered retransmission since lastResponse
		copiesSinceAlive int           // retransmissions without a response since aliveAt
		health           sparhealth.Health

		syn      synState
		races    lostRaces
		load     loadState
		evidence evidenceState
		death    deathState

		warmUntil      time.Duration // end of the warm-up
		slowStartUntil time.Duration // end of the time after its return in which it gets less load
		quota          *warmQuota    // nil if its service has no warm rate
	}

	// synState is what an upstream did with the SYNs sent to it.
	synState struct {
		lastAt          time.Duration // last SYN sent
		unansweredSince time.Duration // first SYN sent since lastResponse, 0 if there is none
		missedAt        time.Duration // when it was last found to leave a SYN unanswered
		avoidedAt       time.Duration // when an opening at it was last due for a hedge
	}

	// loadState is the load of an upstream by this VM.
	loadState struct {
		flows     int           // open flows on record
		underWay  int           // requests under way of flows on record
		recent    decayingCount // requests over recentSpan
		rate      decayingCount // requests over rateSpan
		abandoned decayingCount // requests that clients gave up unanswered, over abandonedSpan
	}

	// evidenceState is what this VM tells others of an upstream, and what follows from the evidence
	// of all.
	evidenceState struct {
		seen       sparevidence.Counts // since the last Observations
		isObserved bool                // it is in observing.upstreams
		progressed bool                // a response went on since the last Observations
		hanging    bool                // a request hangs, see noteHanging; cleared by a response and by Observations
		answeredAt time.Duration       // last request that was answered, or last progress of a response
		weight     float64             // for new flows, 0 for an ejected one
		ejectedAt  time.Duration       // when weight became 0 last
	}
)

// applyUpstreams puts the upstreams of a roster in force.
func (e *Engine) applyUpstreams(r sparroster.Roster) {
	inRoster := map[uint64]bool{}
	clear(e.pools)
	for _, entry := range r.Upstreams {
		inRoster[entry.ID] = true
		if e.namesUnknownService(entry) && e.keepUnusable(entry.ID) {
			continue
		}
		e.addToPool(e.applyEntry(entry))
	}
	for _, entry := range r.Unusable {
		inRoster[entry.ID] = inRoster[entry.ID] || e.keepUnusable(entry.ID)
	}
	for id, u := range e.upstreams {
		u.evacuated = r.Evacuates(u.Domain) // also of one whose entry is unusable
		if !inRoster[id] && !u.removed {
			u.removed, u.removedAt = true, e.now
			e.emit(UpstreamRemoved{Upstream: u.Upstream})
		}
	}
	e.noteReplaced()
	e.indexMarks()
	e.countUsable()
	e.forgetServices()
}

// applyEntry puts the entry of an upstream in force, which may be new, changed, back or restarted.
func (e *Engine) applyEntry(entry sparroster.Upstream) *upstream {
	u := e.upstreams[entry.ID]
	if u == nil || u.Born != entry.Born || u.Service != entry.Service {
		u = e.addUpstream(u, entry)
	}
	back := u.removed || u.unusable
	if back || u.Draining != entry.Draining {
		e.emit(UpstreamUpdated{Upstream: entry})
	}
	if back || u.Upstream != entry {
		u.death.changedAt, u.death.goneUntil = e.now, 0
	}
	if back {
		u.evidence.weight = 1 // the evidence ended with its entry
	}
	u.Upstream, u.removed, u.unusable = entry, false, false
	u.warmUntil = max(u.warmUntil, e.now+entry.Warm)
	if entry.Warm == 0 {
		u.warmUntil = 0
	}
	u.domain, u.service = e.domainOf(u.Domain), e.serviceOf(u.Service)
	return u
}

// namesUnknownService reports whether an entry says that a known upstream is of another service now, and the
// configuration doesn't name that one: another writer has left the entry.
func (e *Engine) namesUnknownService(entry sparroster.Upstream) bool {
	u := e.upstreams[entry.ID]
	return u != nil && u.Service != entry.Service && !e.roster.Routing.Names(entry.Service)
}

// keepUnusable keeps a known upstream whose entry can't be used: it takes no new flows, but its
// flows stay. It reports whether there is such an upstream.
func (e *Engine) keepUnusable(id uint64) bool {
	u := e.upstreams[id]
	if u == nil || u.removed {
		return false
	}
	if !u.unusable {
		u.unusable = true
		e.emit(UpstreamUnusable{Upstream: u.Upstream})
	}
	return true
}

// addToPool adds u to the pool of its service.
func (e *Engine) addToPool(u *upstream) {
	p := e.pools[u.Service]
	if p == nil {
		p = &pool{}
		e.pools[u.Service] = p
	}
	p.all = append(p.all, u)
	if u.Domain == e.domain {
		p.local = append(p.local, u)
	}
	p.addDomain(u.domain, u.Domain == e.domain)
}

// addUpstream adds an upstream that is new or has restarted. The records of flows from
// before a restart are deleted.
func (e *Engine) addUpstream(prev *upstream, entry sparroster.Upstream) *upstream {
	u := &upstream{Upstream: entry, evidence: evidenceState{weight: 1}, death: deathState{listedAt: e.now}}
	if prev != nil {
		u.cookie = prev.cookie
		u.quota = prev.quota // its openings of the last second still count
		for key, f := range e.flows {
			if f.upstream == prev {
				delete(e.flows, key)
			}
		}
	}
	e.upstreams[entry.ID] = u
	e.emit(UpstreamUpdated{Upstream: entry})
	return u
}

func (e *Engine) deleteRemoved() {
	deleted := false
	for id, u := range e.upstreams {
		if u.removed && e.now-u.removedAt > retainRemoved {
			delete(e.upstreams, id)
			deleted = true
		}
	}
	if deleted {
		e.indexMarks()
		e.assignCookies()
	}
}
