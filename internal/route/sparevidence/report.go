package sparevidence

import (
	"math"
	"time"
)

// Reasons to refuse a report.
const (
	UnknownVM  Refusal = "unknown VM"
	OutOfRange Refusal = "out of range"
	TooLarge   Refusal = "too large"
	Old        Refusal = "old"
	Future     Refusal = "from the future"
	Paused     Refusal = "waited for this VM"
)

const (
	// MaxEntries is the largest number of upstreams, and of services, in a report.
	MaxEntries = 64
	// MaxCount is the largest count in a report: more than a VM sees within reportAge.
	MaxCount = 1e6
	// MaxAge is the largest age of an event in a report: what is older is settled.
	MaxAge = time.Minute
	// Never is the age of an event that has not happened.
	Never = time.Duration(-1)
	// maxUsual is the longest response time of a report.
	maxUsual = time.Hour
	// sickUpstreams is the number of upstreams that a VM must have seen before it may be sick.
	sickUpstreams = 4
)

type (
	// Refusal says why a report does not count.
	Refusal string

	// Entry is what the sender of a report has seen of an upstream.
	Entry struct {
		ID     uint64
		Born   uint32 // lower bits of the start of the upstream
		Counts Counts
		// Ages when the report was sent, or Never.
		Answered time.Duration // of the last answered request
		Failed   time.Duration // of the last failure
		Streak   time.Duration // of the first failure since the last answered request; with Failed Never, of the first one that hangs
	}

	// ServiceEntry is what the sender of a report has seen of a service.
	ServiceEntry struct {
		Service string
		Usual   time.Duration // mean response time, 0 if there is none
		Others  Counts        // of the upstreams that the report does not name
		Load    []DomainLoad
		Refused float64 // openings, lately
	}

	// DomainLoad is the number of requests under way to the upstreams of a failure domain.
	DomainLoad struct {
		Domain   string
		Requests int
	}

	// Report is what one VM tells others. All of it is first-hand.
	Report struct {
		From      string
		Run       uint32        // differs in each run of the sender
		Sent      time.Duration // since the start of that run; also orders its reports
		Seen, Bad int           // upstreams seen lately; those of them that answered nothing
		Upstreams []Entry
		Services  []ServiceEntry
		Partial   bool // other services are in the reports before and after it
	}

	// source is the last report of another VM.
	source struct {
		run, before uint32        // this run, and the one before
		sent        time.Duration // by the clock of its sender
		received    time.Duration // as at, by the clock of this VM
		least       time.Duration // least difference of received and sent in this run
		at          time.Duration // when it was sent, by the clock of this VM
		sick        bool
		entries     map[uint64]heardEntry
		services    map[string]heardService
		partial     bool // the last report left services out
	}

	// heardService is an entry by the clock of this VM.
	heardService struct {
		ServiceEntry
		at time.Duration
	}

	// heardEntry is an entry by the clock of this VM. Its times are 0 for never.
	heardEntry struct {
		counts       Counts
		failedAt     time.Duration
		answeredAt   time.Duration
		failingSince time.Duration // first failure since the last answer
		hangingSince time.Duration // first request that hangs since then
	}
)

// Error implements error.
func (r Refusal) Error() string { return string(r) }

// Receive adds the report of another VM. The error is a Refusal: the report does not count.
func (b *Board) Receive(now time.Duration, r Report) error {
	b.notePause(now)
	if _, ok := b.vms[r.From]; !ok || r.From == b.self {
		return UnknownVM
	}
	if err := r.check(); err != nil {
		return err
	}
	if b.pausedAt > 0 && now-b.pausedAt < graceAfter {
		return Paused
	}
	s, err := b.heard[r.From].next(now, r)
	if err != nil {
		return err
	}
	for _, e := range r.Upstreams {
		if u, ok := b.upstreams[e.ID]; ok && uint32(u.Born) == e.Born {
			s.entries[e.ID] = b.hear(s, e)
		}
	}
	b.hearServices(s, b.heard[r.From], r)
	b.heard[r.From] = s
	b.changed = true
	for id, h := range s.entries {
		if h.hangingSince > 0 {
			b.doubtHanging(now, id)
		}
	}
	return nil
}

// hearServices adds the services of the report s, and those of the one before that a partial report
// leaves out.
func (b *Board) hearServices(s, before *source, r Report) {
	if r.Partial && before != nil && before.run == s.run {
		s.services = before.services
	} else {
		s.services = make(map[string]heardService, len(r.Services))
	}
	for _, e := range r.Services {
		if b.services[e.Service] > 0 {
			s.services[e.Service] = heardService{ServiceEntry: e, at: s.at}
		}
	}
}

// forgetServices deletes those that are not known any more.
func (s *source) forgetServices(known map[string]int) {
	for service := range s.services {
		if known[service] == 0 {
			delete(s.services, service)
		}
	}
}

// check returns an error if the report is larger than any VM sends, or out of range.
func (r Report) check() error {
	if len(r.Upstreams) > MaxEntries || len(r.Services) > MaxEntries {
		return TooLarge
	}
	ok := r.Sent >= 0 && r.Bad >= 0 && r.Seen >= r.Bad
	for _, e := range r.Upstreams {
		ok = ok && e.Counts.valid() && validAge(e.Answered) && validAge(e.Failed) && validAge(e.Streak)
	}
	for _, e := range r.Services {
		ok = ok && e.Others.valid() && e.Usual >= 0 && e.Usual <= maxUsual && inRange(e.Refused)
		if len(e.Load) > MaxEntries {
			return TooLarge
		}
		for _, l := range e.Load {
			ok = ok && l.Requests >= 0 && l.Requests <= MaxCount
		}
	}
	if !ok {
		return OutOfRange
	}
	return nil
}

// validAge reports whether an age is one that a VM sends.
func validAge(ago time.Duration) bool { return ago == Never || ago >= 0 && ago <= MaxAge }

func (c Counts) valid() bool {
	return inRange(c.Opened) && inRange(c.Unanswered) && inRange(c.Answered) && inRange(c.Failed) &&
		inRange(c.Slow) && c.Slow <= c.Answered
}

func inRange(x float64) bool { return !math.IsNaN(x) && x >= 0 && x <= MaxCount }

// next returns the source after the report r, without entries. s is nil at the first report.
func (s *source) next(now time.Duration, r Report) (*source, error) {
	n := &source{
		run: r.Run, sent: r.Sent, received: now, least: now - r.Sent, sick: r.sick(),
		entries: make(map[uint64]heardEntry, len(r.Upstreams)), partial: r.Partial,
	}
	switch {
	case s == nil:
	case r.Run == s.before && s.before != s.run, r.Run == s.run && r.Sent <= s.sent:
		return nil, Old
	case r.Run != s.run:
		n.before = s.run
	case r.Sent-s.sent > now-s.received+reportAge:
		return nil, Future
	default:
		n.before, n.least = s.before, min(s.least, n.least)
	}
	n.at = r.Sent + n.least
	if now-n.at > reportAge {
		return nil, Old
	}
	return n, nil
}

// sick reports whether most upstreams fail for the sender: then the fault is its own, or that
// of its links.
func (r Report) sick() bool { return r.Seen >= sickUpstreams && 2*r.Bad > r.Seen }

// hear returns an entry of the report s, by the clock of this VM.
func (b *Board) hear(s *source, e Entry) heardEntry {
	if !s.sick && bad(e.Counts) {
		b.subject(e.ID, s.received)
	}
	h := heardEntry{
		counts: e.Counts, failingSince: before(s.at, e.Streak), answeredAt: before(s.at, e.Answered), failedAt: before(s.at, e.Failed),
	}
	if e.Failed == Never {
		h.failingSince, h.hangingSince = 0, h.failingSince
	}
	return h
}

// before returns the time that is ago before at, or 0 for Never. What happened before the start of this VM
// counts as at its start.
func before(at, ago time.Duration) time.Duration {
	if ago == Never {
		return 0
	}
	return max(1, at-ago)
}
