package sparcookie

import (
	"time"
)

const (
	// copyAfter is the least age of an opening whose copy says something about its
	// upstream. Callers send the first copy after 200 ms.
	copyAfter = 150 * time.Millisecond
	// openingLife is how long a caller waits for its flow to open.
	openingLife = 1500 * time.Millisecond
	// openingSlack is the age from which an opening without answer speaks against its
	// upstream: a quarter of the time after which callers repeat it.
	openingSlack = 50 * time.Millisecond
	// triesBeforeEnd is the number of other VMs that have sent a request in vain before
	// the flow of a lost upstream is ended.
	triesBeforeEnd = 2
)

// Forward decides on a packet from a caller.
func (e *Engine) Forward(s Segment) Verdict {
	if s.Relayed {
		return e.relayed(s)
	}
	p := e.paths[s.To]
	if s.Kind == Opening {
		return e.open(p, s)
	}
	if p == nil && e.roster.Revision == 0 {
		return e.drop(NotFresh)
	}
	if p == nil {
		return e.drop(NoRoute)
	}
	return e.carry(p, s)
}

// open decides on an opening.
func (e *Engine) open(p *path, s Segment) Verdict {
	if p == nil || !p.live {
		if !e.fresh {
			return e.drop(NotFresh)
		}
		return e.reset(NoRoute, nil)
	}
	key := keyOf(s)
	f := e.flows[key]
	if f != nil && !f.opened && e.now-f.began < openingLife {
		return e.openAgain(p, key, f)
	}
	u := e.choose(p, key, nil)
	if u == nil {
		return e.reset(NoUpstream, nil)
	}
	e.start(key, u, e.now)
	return e.send(Placed, u)
}

// start records an opening sent to u of a flow that began at a time.
func (e *Engine) start(key flowKey, u *upstream, began time.Duration) {
	e.forget(key)
	e.record(key, &flow{upstream: u, began: began, moved: e.now, seen: e.now})
	if u.pending == 0 {
		u.pending = e.now
	}
}

// openAgain decides on the copy of an opening that has had no answer. An upstream
// that answers others meanwhile gets it again, since one of the packets was lost.
// Otherwise another upstream does; the flow opens at the first whose answer the
// caller acknowledges.
func (e *Engine) openAgain(p *path, key flowKey, f *flow) Verdict {
	u := f.upstream
	f.seen = e.now
	if e.now-f.moved < copyAfter || u.heard > f.moved {
		return e.send(Repeated, u)
	}
	e.suspect(u, f)
	other := e.choose(p, key, u)
	if other == nil {
		return e.send(Repeated, u)
	}
	e.start(key, other, f.began)
	v := e.send(Moved, other)
	v.Silent, v.Waited = e.now-u.heard, e.now-f.began
	return v
}

// carry decides on a packet of an open flow.
func (e *Engine) carry(p *path, s Segment) Verdict {
	key := keyOf(s)
	f := e.flows[key]
	u := e.cookies[s.Cookie]
	if u == nil && f != nil {
		u = f.upstream
	}
	if u == nil {
		return e.drop(UnknownCookie)
	}
	if !e.served(p, u) {
		return e.drop(WrongService)
	}
	if f == nil || f.upstream != u {
		e.forget(key)
		f = &flow{upstream: u, opened: true, began: e.now, moved: e.now, seen: e.now, ack: s.Ack, end: s.Seq}
		e.record(key, f)
	}
	if !p.live {
		return e.dropped(key, u)
	}
	seen := e.observe(f, s)
	if s.Kind == Finishing || s.Kind == Resetting {
		if waited, lost := e.giveUp(f); lost {
			seen.lost, seen.waited = true, waited
		}
		e.close(f)
	}
	if seen.repeated && e.certainlyGone(u, f) {
		e.forget(key)
		return e.reset(UpstreamGone, u)
	}
	v := Verdict{}
	if helper := e.helper(f, s, seen); helper != 0 {
		v = e.send(Assisted, u)
		v.Helper = helper
	} else {
		v = e.send(Carried, u)
	}
	v.Answered, v.First, v.Unanswered, v.Lost, v.Waited = seen.answered, seen.first, seen.repeated, seen.lost, seen.waited
	return v
}

// certainlyGone reports whether a flow that repeats in vain may be ended: its upstream has
// left the list and answers nobody here. One that drained before has ended as planned. The
// entry of another may have lapsed while it lives, so other VMs are tried first.
func (e *Engine) certainlyGone(u *upstream, f *flow) bool {
	silent := e.now-max(f.moved, u.heard) >= copyAfter
	return u.gone && silent && (u.Draining || f.helped >= triesBeforeEnd)
}

// served reports whether a flow of the path may be at the upstream. A route may have
// listed other services before this VM knew it, and their flows stay where they are
// for as long as a flow lives. An upstream takes no data of a flow that it never
// accepted, so until then the check can wait.
func (e *Engine) served(p *path, u *upstream) bool {
	return p.services[u.Service] || e.now-p.since < FlowLife
}

// dropped ends a flow whose route is no more.
func (e *Engine) dropped(key flowKey, u *upstream) Verdict {
	if !e.fresh {
		return e.send(Carried, u)
	}
	e.forget(key)
	return e.reset(RouteDropped, u)
}
