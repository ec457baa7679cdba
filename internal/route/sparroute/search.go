package sparroute

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// searchesPerSecond bounds the unknown flows that an owner looks for, since packets of
	// flows that never were cost one segment to each upstream.
	searchesPerSecond = 2000
	// searchRounds is how often a search goes through all upstreams: the order shifts
	// under it where upstreams come or go meanwhile.
	searchRounds = 2
	// searchWait is how long after its last packet a search waits for a RST.
	searchWait = 5 * time.Second
)

// startSearch looks for the home of a TCP flow that the owner has no record of: it is
// older than the records here, or was opened on the other side of a cut. A kernel answers
// a segment of a connection that it does not have with RST and passes no data on, so
// a packet of the flow may try one upstream after the other: the base first, then the
// order in which overrides are placed. The caller sees only the last of these RSTs.
func (e *Engine) startSearch(g *group, sl *slot, key sparflow.Key) Verdict {
	if !e.maySearch() {
		return e.toBase(g, sl, key)
	}
	f := flow{at: e.seconds(), state: flowSearch, home: sl.base}
	if !g.carries[sl.base] {
		if f = e.nextCandidate(g, key, f); f.home == 0 {
			return e.abort()
		}
	}
	e.record(g, key, f)
	return Verdict{Action: ToUpstream, At: f.home, Key: key, Keep: true}
}

// maySearch counts searches against their limit.
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

// searched follows the answer of the upstream that a search has reached. It reports
// whether the caller may see it.
func (e *Engine) searched(g *group, key sparflow.Key, s Segment, f flow) bool {
	if s.Kind != Resetting {
		f.state = flowOpen
		e.record(g, key, f)
		return true
	}
	next := e.nextCandidate(g, key, f)
	if next.home == 0 {
		e.forget(g, key)
		return true
	}
	e.record(g, key, next)
	e.emit(Release{Key: key})
	return false
}

// endSearch takes the upstream reached for the home of the flow once it has not answered
// with RST for a while. A later RST starts the search again.
func (e *Engine) endSearch(g *group, key sparflow.Key, f flow) {
	if e.age(f) < searchWait {
		return
	}
	f.state = flowOpen
	f.flags |= flagDoubt
	e.record(g, key, f)
}

// nextCandidate returns f at the next upstream to try, at home 0 where all have been
// tried.
func (e *Engine) nextCandidate(g *group, key sparflow.Key, f flow) flow {
	order := sparrank.Order(placement(key), g.names)
	for int(f.tried) < searchRounds*len(order) {
		at := g.service.Upstreams[order[int(f.tried)%len(order)]].At
		f.tried++
		if at != f.home && g.carries[at] {
			f.home = at
			return f
		}
	}
	f.home = 0
	return f
}

// placement returns the number by which overrides of key rank upstreams.
func placement(key sparflow.Key) int { return int(key >> 12 & (1<<31 - 1)) }
