package sparcookie

import (
	"math"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

const (
	// recentSpan is the time over which requests to an upstream count as recent: a few
	// times the work of one request.
	recentSpan = 60 * time.Millisecond
	// paceSpan is the time over which the pace of requests is taken: long enough that
	// chance does not look like load, short beside a burst of seconds.
	paceSpan = 500 * time.Millisecond
	// lostSpan is the time over which a lost request counts against its upstream: some
	// times as long as callers wait, so that their next requests go elsewhere.
	lostSpan = 5 * time.Second
)

type (
	// flowKey names a flow.
	flowKey struct {
		caller, service sparflow.Endpoint
	}

	// flow is what this VM has seen of one flow.
	flow struct {
		upstream *upstream
		began    time.Duration // first opening
		moved    time.Duration // last sign of progress, or the last opening sent
		asked    time.Duration // when the request that waits for an answer came, or 0
		seen     time.Duration // last packet
		struck   time.Duration // when it last counted against its upstream, or 0
		end      uint32        // sequence number behind the data seen
		ack      uint32        // highest acknowledgement seen
		helped   int           // packets sent through other VMs as well
		opened   bool
		closed   bool
	}

	// sight is what one packet shows.
	sight struct {
		answered, first, repeated, lost bool
		waited                          time.Duration
	}

	// rate is a count of requests that decays over a span.
	rate struct {
		count float64
		at    time.Duration
	}
)

func keyOf(s Segment) flowKey { return flowKey{caller: s.From, service: s.To} }

// after reports whether sequence number a lies behind b.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// observe follows the flow and its upstream by one packet.
func (e *Engine) observe(f *flow, s Segment) (seen sight) {
	f.seen = e.now
	if !f.opened {
		f.opened = true
		f.ack, f.end = s.Ack, s.Seq
		seen = sight{answered: true, first: true, waited: e.now - f.began}
		e.progress(f)
	}
	if after(s.Ack, f.ack) {
		f.ack = s.Ack
		seen.answered = seen.answered || f.asked > 0
		if f.asked > 0 {
			seen.waited = e.now - f.asked
		}
		f.asked = 0
		e.progress(f)
	}
	if s.Size == 0 {
		return seen
	}
	if end := s.Seq + uint32(s.Size); after(end, f.end) {
		f.end = end
		e.ask(f)
		return seen
	}
	if waited := e.now - max(f.asked, f.moved); waited >= copyAfter {
		seen.repeated, seen.waited = true, waited
		if f.upstream.heard <= f.asked {
			e.suspect(f.upstream, f)
		}
	}
	return seen // sooner it is a packet that another one overtook
}

// ask notes a request, unless one waits already.
func (e *Engine) ask(f *flow) {
	if f.asked == 0 {
		f.asked = e.now
		f.upstream.recent.add(e.now, recentSpan)
		f.upstream.pace.add(e.now, paceSpan)
	}
}

// giveUp notes that a caller ends its flow, and reports how long a request has waited
// that was given up unanswered. The flow's end would make its upstream look less loaded
// than those that answer.
func (e *Engine) giveUp(f *flow) (waited time.Duration, lost bool) {
	waited = e.now - f.asked
	if f.asked == 0 || waited < copyAfter {
		return 0, false
	}
	f.asked = 0
	e.stats.Lost++
	f.upstream.lost.add(e.now, lostSpan)
	return waited, true
}

// progress notes that a packet of the upstream has reached the caller.
func (e *Engine) progress(f *flow) {
	f.moved = e.now
	u := f.upstream
	u.heard, u.pending, u.strikes = e.now, 0, 0
	e.judge(u, u.health.Answered(e.now))
}

// suspect notes that an upstream has left a packet of f without answer while nobody
// else heard from it. A flow counts once until the upstream is heard again.
func (e *Engine) suspect(u *upstream, f *flow) {
	if f.struck <= u.heard || f.struck == 0 {
		f.struck = e.now
		u.strikes++
	}
	e.judge(u, u.health.Failed(e.now))
}

// judge tells of a change of health.
func (e *Engine) judge(u *upstream, changed bool) {
	if changed {
		e.emit(UpstreamJudged{Upstream: u.Upstream, State: u.health.State(), Silent: e.now - u.heard})
	}
}

// Flows returns the number of flows on record.
func (e *Engine) Flows() int { return len(e.flows) }

// record keeps f, unless too many are kept. One that is not kept counts as no load.
func (e *Engine) record(key flowKey, f *flow) {
	if len(e.flows) >= e.maxFlows {
		f.closed = true
		return
	}
	e.flows[key] = f
	f.upstream.flows++
}

// close ends the load that f stands for. Its last packets may still pass.
func (e *Engine) close(f *flow) {
	if !f.closed {
		f.closed = true
		f.upstream.flows--
	}
}

// forget drops the record of a flow.
func (e *Engine) forget(key flowKey) {
	f := e.flows[key]
	if f == nil {
		return
	}
	e.close(f)
	delete(e.flows, key)
}

// sweepFlows drops the records of flows that have ended.
func (e *Engine) sweepFlows() {
	for key, f := range e.flows {
		idle := e.now - f.seen
		switch {
		case f.closed && idle > openingLife,
			!f.opened && idle > openingLife,
			idle > e.roster.Routing.Idle,
			e.now-f.began > rememberGone:
			e.forget(key)
		}
	}
}

func (r *rate) add(now, span time.Duration) {
	r.count = r.value(now, span) + 1
	r.at = now
}

func (r *rate) value(now, span time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(span))
}
