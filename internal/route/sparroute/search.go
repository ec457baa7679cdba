package sparroute

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// searchesPerSecond limits the searches that an owner starts, since a packet of a flow
	// that never existed costs one segment to each upstream.
	searchesPerSecond = 2000
	// searchRounds is how often a search tries all upstreams. One round may miss some,
	// since their order changes if upstreams join or leave during the search.
	searchRounds = 2
	// searchWait is how long a search waits for a RST, counted from the last change of the
	// record. Neither packets of the flow nor RSTs of the upstreams tried prolong it.
	searchWait = 5 * time.Second
)

// startSearch starts a search for the upstream of a TCP flow without a record. Such a flow
// is older than the records here, or was opened on the other side of a network partition.
// A kernel that does not have the connection answers a segment with RST and delivers no
// data, so a packet of the flow can try one upstream after the other: the default upstream
// first, then the order in which overrides are placed. The client sees only the last RST.
func (e *Engine) startSearch(g *group, sl *slot, key sparflow.Key) Verdict {
	if !e.maySearch() {
		return e.toDefault(g, sl, key)
	}
	f := flow{changed: e.seconds(), state: flowSearch, upstream: sl.defaultUpstream}
	if !g.carries[sl.defaultUpstream] {
		if f = e.nextCandidate(g, key, f); f.upstream == 0 {
			return e.abort()
		}
	}
	e.record(g, key, f)
	return Verdict{Action: ToUpstream, At: f.upstream, Key: key, Keep: true}
}

// maySearch reports whether another search is within the limit, and counts it.
func (e *Engine) maySearch() bool {
	if e.now-e.searchesFrom >= time.Second {
		e.searchesFrom, e.searches = e.now, 0
	}
	if e.searches >= searchesPerSecond {
		return false
	}
	e.searches++
	e.stats.Searches++
	return true
}

// trackSearch continues or ends a search by the response of the upstream tried. It reports
// whether the response may reach the client.
func (e *Engine) trackSearch(g *group, key sparflow.Key, s Segment, f flow) bool {
	if s.Kind != RST {
		f.state = flowOpen
		e.record(g, key, f)
		return true
	}
	next := e.nextCandidate(g, key, f)
	if next.upstream == 0 {
		e.forget(g, key)
		return true
	}
	e.record(g, key, next)
	e.emit(Release{Key: key})
	return false
}

// endSearch ends a search at the upstream tried last once searchWait has passed. A later
// RST resumes the search.
func (e *Engine) endSearch(g *group, key sparflow.Key, f flow) {
	if e.age(f) < searchWait {
		return
	}
	f.state = flowOpen
	f.flags |= flagUnverified
	e.record(g, key, f)
}

// nextCandidate returns f with the next upstream to try, or 0 if all have been tried.
func (e *Engine) nextCandidate(g *group, key sparflow.Key, f flow) flow {
	order := sparrank.Order(placement(key), g.ranks)
	for int(f.tried) < searchRounds*len(order) {
		at := g.service.Upstreams[order[int(f.tried)%len(order)]].At
		f.tried++
		if at != f.upstream && g.carries[at] {
			f.upstream = at
			return f
		}
	}
	f.upstream = 0
	return f
}

// placement returns the number by which upstreams are ranked for overrides of key.
func placement(key sparflow.Key) int { return int(key >> 12 & (1<<31 - 1)) }
