package sparcookie

import "github.com/oleanderspar/oleanderspar/internal/settings/sparroster"

func (e *Engine) applyUpstreams(r sparroster.Roster) {
	inRoster := map[uint64]bool{}
	clear(e.pools)
	for _, entry := range r.Upstreams {
		inRoster[entry.ID] = true
		u := e.upstreams[entry.ID]
		if u == nil || u.Born != entry.Born || u.Service != entry.Service {
			u = e.addUpstream(u, entry)
		}
		if u.Draining != entry.Draining || u.removed || u.unusable {
			e.emit(UpstreamUpdated{Upstream: entry})
		}
		if u.Upstream != entry || u.removed || u.unusable {
			u.death.changedAt, u.death.until = e.now, 0
		}
		if u.removed || u.unusable {
			u.weight = 1 // the evidence ended with its entry
		}
		u.Upstream, u.removed, u.unusable = entry, false, false
		u.warmUntil = max(u.warmUntil, e.now+entry.Warm)
		if entry.Warm == 0 {
			u.warmUntil = 0
		}
		u.domain, u.service = e.domainOf(u.Domain), e.serviceOf(u.Service)
		e.addToPool(u)
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
	u := &upstream{Upstream: entry, weight: 1, death: goneState{listedAt: e.now}}
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
