package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// trialEvery is the least time between two openings that try an upstream out.
	trialEvery = 300 * time.Millisecond
	// warmingShare is the share of new flows of an upstream that has just started.
	warmingShare = 0.5
	// spillAt is the share of the slots of a failure domain at work from which on
	// upstreams of other domains are weighed too. Beyond it requests begin to queue.
	spillAt = 0.75
	// lostWeight is what a lost request counts for beside those that are open: as many
	// as an upstream lets wait, since nothing tells whether it has room for them.
	lostWeight = 8
	// typicalWork is what a request occupies a slot for, in today's services.
	typicalWork = 20 * time.Millisecond
)

// tier is how well an upstream suits an opening; lower is better.
type tier int

const (
	tierLocal  tier = iota // healthy, in the failure domain of this VM
	tierRemote             // healthy, elsewhere
	tierSilent             // answers nobody as far as seen here
	tierNone               // takes no openings
)

// choose returns the best upstream for an opening, or nil where none takes it. It
// avoids the one given unless that is the only one.
func (e *Engine) choose(p *path, key flowKey, avoid *upstream) *upstream {
	service := e.pickService(p, key)
	if u := e.best(service, key, avoid); u != nil {
		return u
	}
	for _, t := range p.route.Targets {
		if t.Weight == 0 || t.Service == service {
			continue
		}
		if u := e.best(t.Service, key, avoid); u != nil {
			return u
		}
	}
	return nil
}

// pickService draws a service by its share, the same for every copy of an opening.
func (e *Engine) pickService(p *path, key flowKey) string {
	total := 0
	for _, t := range p.route.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	draw := int(sparrank.Weight(0, uint64(key.caller)) % uint64(total))
	for _, t := range p.route.Targets {
		draw -= t.Weight
		if draw < 0 {
			return t.Service
		}
	}
	return ""
}

// best returns the least loaded upstream of the best tier of a service. Those of other
// failure domains are looked at only where the own ones do not suffice.
func (e *Engine) best(service string, key flowKey, avoid *upstream) *upstream {
	m := e.services[service]
	if m == nil {
		return nil
	}
	full := e.domainFull(m.local)
	if !full {
		if u, t := e.bestOf(m.local, key, avoid, false); t == tierLocal {
			return e.place(u)
		}
	}
	u, _ := e.bestOf(m.all, key, avoid, full)
	return e.place(u)
}

// place notes that an opening goes to u, which may be nil.
func (e *Engine) place(u *upstream) *upstream {
	if u != nil {
		u.placed = e.now
	}
	return u
}

// bestOf returns the least loaded upstream of the best tier, and that tier. Where the own
// failure domain is full the others are as good.
func (e *Engine) bestOf(upstreams []*upstream, key flowKey, avoid *upstream, full bool) (best *upstream, bestTier tier) {
	var bestScore float64
	bestTier = tierNone
	for _, u := range upstreams {
		e.expect(u)
		t := e.tierOf(u)
		if u == avoid || t == tierNone {
			continue
		}
		if t == tierRemote && full {
			t = tierLocal
		}
		score := e.score(u, key)
		if t < bestTier || t == bestTier && score < bestScore {
			best, bestScore, bestTier = u, score, t
		}
	}
	return best, bestTier
}

// expect takes an upstream out whose answer to an opening is overdue. Any answer to
// another flow brings it back.
func (e *Engine) expect(u *upstream) {
	if u.pending > 0 && e.now-u.pending >= openingSlack && u.health.Opens() && e.now-u.placed >= openingSlack {
		e.judge(u, u.health.Ejected(e.now))
	}
}

// tierOf says how well an upstream suits an opening.
func (e *Engine) tierOf(u *upstream) tier {
	switch {
	case u.Draining || u.gone:
		return tierNone
	case !u.health.Opens(), u.health.OnTrial() && e.now-u.placed < trialEvery:
		return tierSilent
	case u.Domain == e.domain:
		return tierLocal
	}
	return tierRemote
}

// domainFull reports whether the upstreams of this failure domain have little room
// left. The other VMs of the domain are taken to pass as many requests as this one.
func (e *Engine) domainFull(local []*upstream) bool {
	requests, slots := 0.0, 0
	for _, u := range local {
		if e.tierOf(u) == tierLocal {
			requests += u.pace.value(e.now, paceSpan)
			slots += u.Slots
		}
	}
	busy := requests * float64(typicalWork) / float64(paceSpan) * float64(max(e.siblings, 1))
	return busy >= spillAt*float64(slots)
}

// score is the load of an upstream for each request that it can work on at once.
// The fraction from the flow's rank spreads equal ones over VMs.
func (e *Engine) score(u *upstream, key flowKey) float64 {
	load := float64(u.flows) + 2*u.recent.value(e.now, recentSpan) + lostWeight*u.lost.value(e.now, lostSpan)
	load += float64(sparrank.Weight(int(uint32(key.caller)), u.ID)>>40) / (1 << 24)
	room := float64(u.Slots)
	if e.now < u.warmed {
		room *= warmingShare
	}
	return load / room
}
