package sparroute

import (
	"math"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// retryAfter is the age in seconds at which an unanswered SYN that comes again
	// counts against its upstream and may go elsewhere.
	retryAfter = 2
)

// open decides on an opening at the owner of its slot.
func (e *Engine) open(g *group, sl *slot, key sparflow.Key, f flow, known bool) Verdict {
	if known {
		switch f.state {
		case flowHeld:
			return e.openHeld(g, key, f)
		case flowOpening:
			return e.openAgain(g, sl, key, f)
		default:
			e.forget(g, key)
			if e.opens(g, f.home) {
				e.stats.Openings++
				return e.commit(g, sl, key, f.home, 0)
			}
		}
	}
	return e.place(g, sl, key, 0)
}

// openHeld passes an opening on once its standbys have the record.
func (e *Engine) openHeld(g *group, key sparflow.Key, f flow) Verdict {
	for _, p := range e.pending {
		if p.group == g && p.key == key {
			return e.hold(g, key)
		}
	}
	return e.start(g, key, f)
}

// openAgain handles a SYN that comes again. The first attempt may be under way, so
// it goes to the same home until that has had time to answer.
func (e *Engine) openAgain(g *group, sl *slot, key sparflow.Key, f flow) Verdict {
	if e.seconds()-f.at < retryAfter {
		return e.toHome(g, key, f.home)
	}
	e.failed(g, f.home)
	if e.opens(g, f.home) && e.healthy(g, f.home) {
		return e.toHome(g, key, f.home)
	}
	e.stats.Retries++
	e.forget(g, key)
	return e.place(g, sl, key, f.home)
}

// start passes an opening on to the home of its record.
func (e *Engine) start(g *group, key sparflow.Key, f flow) Verdict {
	f.state, f.at = flowOpening, e.seconds()
	f.flags &^= flagCallerIn | flagUpperIn
	if e.partial {
		f.flags |= flagDoubt
	}
	if g.service.Proto == sparflow.UDP {
		f.state = flowOpen
	}
	e.record(g, key, f)
	return Verdict{Action: ToUpstream, At: f.home, Key: key}
}

// place chooses the home of a new flow. It avoids the upstream given, if any.
func (e *Engine) place(g *group, sl *slot, key sparflow.Key, avoid sparflow.Endpoint) Verdict {
	e.stats.Openings++
	home := e.choose(g, sl, key, avoid)
	if home == 0 {
		return e.refuse(NoUpstream)
	}
	return e.commit(g, sl, key, home, avoid)
}

// commit opens a flow at home. Where that is an override its standbys come first, and
// while the view is disputed the base takes it instead.
func (e *Engine) commit(g *group, sl *slot, key sparflow.Key, home, avoid sparflow.Endpoint) Verdict {
	f := flow{home: home, at: e.seconds()}
	if home == sl.base {
		return e.start(g, key, f)
	}
	if !e.view.Settled {
		if sl.base != avoid && e.opens(g, sl.base) {
			f.home = sl.base
			return e.start(g, key, f)
		}
		return e.drop(NotSettled)
	}
	e.stats.Overrides++
	f.flags |= flagReplicated
	delete(g.ended, key)
	needs := e.tell(key.Slot(), Sync{
		Service: g.service.Name,
		Pins:    []Pins{{Home: home, Keys: []sparflow.Key{key}}},
	})
	if len(needs) == 0 {
		return e.start(g, key, f)
	}
	f.state = flowHeld
	e.record(g, key, f)
	e.pending = append(e.pending, pending{group: g, key: key, home: home, needs: needs})
	return e.hold(g, key)
}

// choose returns the best upstream for a new flow, or 0 where none opens. The
// first candidate of the slot wins unless it is unwell or above its bound; then the
// next in rendezvous order for the key.
func (e *Engine) choose(g *group, sl *slot, key sparflow.Key, avoid sparflow.Endpoint) sparflow.Endpoint {
	bound := e.bounds(g)
	if sl.first != avoid && e.usable(g, sl.first, bound) {
		return sl.first
	}
	pick := sparrank.Best(placement(key), g.names, func(i int) bool {
		at := g.service.Upstreams[i].At
		return at != avoid && e.usable(g, at, bound)
	})
	if pick >= 0 {
		return g.service.Upstreams[pick].At
	}
	return e.lightest(g)
}

// usable reports whether a new flow may go to the upstream at.
func (e *Engine) usable(g *group, at sparflow.Endpoint, b bound) bool {
	if !e.opens(g, at) || !e.healthy(g, at) {
		return false
	}
	return float64(g.load.estimate(at)+1) <= b.limit(e.weight(g, at))
}

// lightest returns the least loaded upstream that opens, healthy ones first.
func (e *Engine) lightest(g *group) sparflow.Endpoint {
	var best sparflow.Endpoint
	least := math.MaxInt
	for _, wellOnly := range []bool{true, false} {
		for _, u := range g.service.Upstreams {
			if !e.opens(g, u.At) || wellOnly && !e.healthy(g, u.At) {
				continue
			}
			if n := g.load.estimate(u.At); n < least {
				best, least = u.At, n
			}
		}
		if best != 0 {
			return best
		}
	}
	return 0
}

// opens reports whether settings let the upstream take openings.
func (e *Engine) opens(g *group, at sparflow.Endpoint) bool {
	u, ok := g.service.Upstream(at)
	return ok && u.Opens()
}

// bound is the number of flows per unit of weight that an upstream may hold.
type bound float64

func (b bound) limit(weight float64) float64 {
	return math.Max(1, math.Ceil(float64(b)*weight))
}

func (e *Engine) bounds(g *group) bound {
	total, weight := 1, 0.0
	for _, u := range g.service.Upstreams {
		if !u.Opens() {
			continue
		}
		total += g.load.estimate(u.At)
		weight += e.weight(g, u.At)
	}
	if weight == 0 {
		return 0
	}
	return bound(float64(total) / weight * (1 + g.service.Spread))
}

// tell queues m for every standby of slot and returns what to wait for.
func (e *Engine) tell(slot int, m Message) []need {
	var needs []need
	for _, peer := range e.standbysOf(slot) {
		needs = append(needs, need{peer: peer, seq: e.queue(peer, m)})
	}
	return needs
}

// standbysOf returns the names of the standbys of slot in the view.
func (e *Engine) standbysOf(slot int) []string {
	if len(e.roles) == 0 {
		return nil
	}
	var names []string
	for _, i := range e.roles[slot].standbys {
		if i >= 0 && int(i) != e.me {
			names = append(names, e.view.Members[i].VM.Name)
		}
	}
	return names
}

// settle completes what every standby has acknowledged. A standby that has left
// the view is not waited for.
func (e *Engine) settle() {
	waiting := e.pending[:0]
	var done []pending
	for _, p := range e.pending {
		if e.satisfied(p.needs) {
			done = append(done, p)
			continue
		}
		waiting = append(waiting, p)
	}
	e.pending = waiting
	for _, p := range done {
		if p.key == 0 {
			e.finishRebase(p)
			continue
		}
		e.release(p.group, p.key)
	}
}

func (e *Engine) satisfied(needs []need) bool {
	for _, n := range needs {
		if e.view.Index(n.peer) >= 0 && e.acked(n.peer) < n.seq {
			return false
		}
	}
	return true
}

func (e *Engine) release(g *group, key sparflow.Key) {
	if g.held[key] {
		delete(g.held, key)
		e.emit(Release{Key: key})
	}
}

// Acknowledged says that a peer has taken more messages.
func (e *Engine) Acknowledged() {
	if len(e.pending) > 0 {
		e.settle()
	}
}

// age returns how long ago the record changed.
func (e *Engine) age(f flow) time.Duration {
	return time.Duration(e.seconds()-f.at) * time.Second
}
