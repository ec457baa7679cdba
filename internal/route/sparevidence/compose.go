package sparevidence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportEvery is the time between two reports while there is something to say, and urgentAfter
	// the time to a report with new bad evidence.
	reportEvery = time.Second
	urgentAfter = 100 * time.Millisecond
	// MaxNamed bounds the upstreams in a report, so that one to each peer fits into the budget.
	MaxNamed = 5

	// An upstream is named if it fails from this share on, or is slow from that share on.
	namedFailures = 0.1
	namedSlow     = 0.5
)

// composer is the part of a board that decides what to report.
type composer struct {
	composed time.Duration            // last time that a report was due
	urgent   bool                     // there is new bad evidence
	pressed  bool                     // the load is worth reporting
	named    map[uint64]time.Duration // when an upstream was named last
	told     map[string]time.Duration // when a service was listed last
}

// Compose returns the report that is due now, if there is one.
func (b *Board) Compose(now time.Duration) (r Report, due bool) {
	wait := reportEvery
	if b.urgent {
		wait = urgentAfter
	}
	if b.composed > 0 && now-b.composed < wait {
		return Report{}, false
	}
	b.composed, b.urgent = now, false
	b.expire(now)
	ids := b.pickNamed(now)
	if len(ids) == 0 && !b.pressed {
		return Report{}, false
	}
	r = Report{From: b.self, Run: b.run, Sent: now}
	r.Seen, r.Bad = b.seen(now)
	for _, id := range ids {
		b.named[id] = now
		r.Upstreams = append(r.Upstreams, b.entry(id, now))
	}
	r.Services, r.Partial = b.pickServices(now, ids)
	return r, true
}

// entry returns what this VM has seen of an upstream.
func (b *Board) entry(id uint64, now time.Duration) Entry {
	r := b.own[id]
	e := Entry{
		ID: id, Born: uint32(b.upstreams[id].Born), Counts: r.value(now),
		Answered: ago(r.answeredAt, now), Failed: ago(r.failedAt, now), Streak: ago(r.failingSince, now),
	}
	if r.failingSince == 0 && r.hangs(now) {
		e.Failed, e.Streak = Never, ago(r.hangingSince, now)
	}
	return e
}

// ago returns the age of an event, or Never for one that is long ago.
func ago(at, now time.Duration) time.Duration {
	if at == 0 || now-at > MaxAge {
		return Never
	}
	return now - at
}

// pickNamed returns the upstreams to name: those with news first, the others in turn.
func (b *Board) pickNamed(now time.Duration) (ids []uint64) {
	if b.named == nil {
		b.named = map[uint64]time.Duration{}
	}
	for id := range b.named {
		if b.own[id] == nil {
			delete(b.named, id)
		}
	}
	for id, r := range b.own {
		if b.worthNaming(id, r, now) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(x, y uint64) int {
		newX, newY := b.news(x), b.news(y)
		if newX != newY {
			if newX {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.named[x], b.named[y]), cmp.Compare(x, y))
	})
	return ids[:min(len(ids), MaxNamed)]
}

// news reports whether there is something new about an upstream that others should know at once.
func (b *Board) news(id uint64) bool {
	r, since := b.own[id], b.named[id]
	return max(r.failedAt, r.hungAt) > since || r.answeredAt > since && b.answersWanted(id)
}

// worthNaming reports whether an upstream did badly here, or has been seen here since others
// reported that it did.
func (b *Board) worthNaming(id uint64, r *record, now time.Duration) bool {
	c := r.value(now)
	seen := c.samples() >= leastCount
	if seen && bad(c) || r.hangs(now) {
		return true
	}
	return b.subjects[id] != nil && (seen && r.at > b.named[id] || r.answeredAt > b.named[id])
}

// bad reports whether counts are worth telling by themselves.
func bad(c Counts) bool {
	return c.FailureRatio() >= namedFailures || c.Slow >= 2 && c.SlowRatio() >= namedSlow
}
