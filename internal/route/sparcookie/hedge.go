package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparhedge"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// maxHedgeWait is the age of an opening from which on it is not hedged: its client sends a copy, or
// this VM was paused and has not read the answer yet.
const maxHedgeWait = minRetransmitAge

// HedgeSlots is the number of openings that may wait for an answer or a hedge. Beyond it
// openings are not hedged. It suffices for 3,400 openings a second that all wait for the longest delay.
const HedgeSlots = 512

// Reasons to hedge no opening.
const (
	HedgeOverBudget HedgeDenial = iota // the share set is used up
	HedgeShort                         // the upstreams are short of slots
	HedgeNowhere                       // no second upstream is fit for it
	HedgeFull                          // too many openings wait
	hedgeDenialCount
)

type (
	// HedgeDenial is why an opening without an answer was not hedged.
	HedgeDenial uint8

	// Hedge is an opening to be sent to a second upstream as well.
	Hedge struct {
		Slot     int               // that the verdict on its SYN named, less 1
		From, To sparflow.Endpoint // the client, and the address that it connected to
		First    sparroster.Upstream
		Verdict
	}

	// HedgeStats holds counts since the start.
	HedgeStats struct {
		Sent   uint64
		Won    uint64 // the second upstream was the first to answer
		Denied [hedgeDenialCount]uint64
	}

	// hedging is what an engine needs to hedge openings.
	hedging struct {
		times  sparhedge.Times
		budget sparhedge.Budget
		queue  *sparhedge.Queue[flowKey]
		due    []Hedge // reused
		stats  HedgeStats
	}

	// hedgeState is the part of a flow record that is about SYNs which went to several upstreams.
	hedgeState struct {
		queued  bool      // in hedging.queue
		settled bool      // the first packet after the SYN has shown the upstream
		rival   *upstream // that the SYN went to as well; once the flow is open, the one that lost
	}
)

// String returns the reason as written in metrics.
func (d HedgeDenial) String() string {
	return [...]string{"budget", "short", "no-upstream", "queue"}[d]
}

// SetHedge sets the share of openings that may be sent to a second upstream, 0 for none.
func (e *Engine) SetHedge(share float64) {
	e.hedges = nil
	if share > 0 {
		e.hedges = &hedging{budget: sparhedge.NewBudget(share), queue: sparhedge.NewQueue[flowKey](HedgeSlots)}
	}
}

// HedgeStats returns the counts of hedges.
func (e *Engine) HedgeStats() HedgeStats {
	if e.hedges == nil {
		return HedgeStats{}
	}
	return e.hedges.stats
}

// suspendHedges stops hedges for a while, because slots are short or flows are refused.
func (e *Engine) suspendHedges() {
	if e.hedges != nil {
		e.hedges.budget.Suspend(e.now)
	}
}

// queueOpening queues an opening that may have to be hedged, and names its slot in the verdict.
func (e *Engine) queueOpening(rec *routeRecord, key flowKey, s Segment, v Verdict) Verdict {
	if e.hedges == nil {
		return v
	}
	h := e.hedges
	h.budget.Opened()
	f := e.flows[key]
	if _, ok := h.times.Delay(); !ok || f == nil || !rec.route.Repeatable || s.Size > 0 {
		return v
	}
	slot, ok := h.queue.Add(key, e.now)
	if !ok {
		h.stats.Denied[HedgeFull]++
		return v
	}
	f.hedge.queued = true
	v.Awaits = slot + 1
	return v
}

// NextHedge returns when DueHedges is to be called next. ok is false while no opening waits.
func (e *Engine) NextHedge() (at time.Duration, ok bool) {
	if e.hedges == nil {
		return 0, false
	}
	began, ok := e.hedges.queue.Oldest()
	delay, known := e.hedges.times.Delay()
	if !known {
		delay = maxHedgeWait
	}
	return began + delay, ok
}

// DueHedges returns the openings that have had no answer for so long that they are to be sent to a
// second upstream now. The result and the slots that it names are valid until the next call of
// Forward.
func (e *Engine) DueHedges() []Hedge {
	if e.hedges == nil {
		return nil
	}
	h := e.hedges
	h.due = h.due[:0]
	delay, ok := h.times.Delay()
	if !ok {
		delay = maxHedgeWait // what waits for longer is not hedged any more
	}
	for {
		item, ok := h.queue.Next(e.now - delay)
		if !ok {
			return h.due
		}
		if f := e.unansweredOpening(item); f != nil {
			e.hedge(item, f)
		}
	}
}

// unansweredOpening returns the flow of a queued opening, or nil if it is not to be hedged any more:
// it is open or has ended, or its client has sent or is about to send a copy of the SYN. It marks the
// upstream of one that is to be hedged as avoided.
func (e *Engine) unansweredOpening(item sparhedge.Item[flowKey]) *flow {
	f := e.flows[item.Key]
	if f == nil || !f.hedge.queued || f.began != item.Began {
		return nil
	}
	f.hedge.queued = false
	if f.opened || f.closed || e.now-f.began >= maxHedgeWait {
		return nil
	}
	f.upstream.syn.avoidedAt = e.now
	return f
}

// hedge decides on an opening that is due.
func (e *Engine) hedge(item sparhedge.Item[flowKey], f *flow) {
	rec := e.routes[item.Key.service]
	if rec == nil || !rec.live || !rec.route.Repeatable || !rec.route.Takes(f.upstream.Service) {
		return // changed meanwhile
	}
	h := e.hedges
	if e.shortOfSlots(f.upstream.Service) {
		e.suspendHedges()
	}
	if h.budget.Suspended(e.now) {
		h.stats.Denied[HedgeShort]++
		return
	}
	second := e.secondUpstream(e.pools[f.upstream.Service], item.Key, f.upstream)
	if second == nil {
		h.stats.Denied[HedgeNowhere]++
		return
	}
	if !h.budget.Take(e.now) {
		h.stats.Denied[HedgeOverBudget]++
		return
	}
	h.stats.Sent++
	f.hedge.rival = e.markPlaced(second)
	e.chargeSYN(second)
	v := e.send(Hedged, second)
	v.Waited = e.now - f.began
	h.due = append(h.due, Hedge{Slot: item.Slot, From: item.Key.client, To: item.Key.service, First: f.upstream.Upstream, Verdict: v})
}

// recordOpeningTime records how long an opening took, at whichever upstream.
func (e *Engine) recordOpeningTime(waited time.Duration) {
	if e.hedges != nil {
		e.hedges.times.Record(waited, e.now)
	}
}
