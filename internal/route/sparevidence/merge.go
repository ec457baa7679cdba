package sparevidence

import (
	"slices"
	"time"
)

type (
	// merger merges the evidence of all VMs at one time.
	merger struct {
		board   *Board
		now     time.Duration
		sick    bool     // most upstreams fail for this VM
		names   []string // of the VMs that count, in order
		sources []*source

		peerCounts   map[string]Counts // by service, see peers
		slowServices map[string]bool   // see slow
	}

	// sighting is what one VM has seen of an upstream.
	sighting struct {
		name         string
		counts       Counts
		failingSince time.Duration // first failure since its last answer, or 0
		hangingSince time.Duration // first request that hangs since then, or 0
		answeredAt   time.Duration
		failedAt     time.Duration
		own          bool
	}

	// merged is the evidence about one upstream.
	merged struct {
		id          uint64
		counts      Counts
		sightings   []sighting
		inARow      float64       // failures since the last answer to each VM
		onset       time.Duration // since when two VMs have seen nothing but failures, or 0
		failing     int           // VMs that have seen failures
		slow        int           // VMs that have seen slow answers
		witnesses   []string      // VMs of either kind
		unanimous   bool          // as many VMs as report to this one have told of it, all of nothing but failures
		split       bool          // it has answered a VM since onset
		answersHere bool          // it has answered this VM since the others saw it fail
		fineHere    bool          // answersHere, and it has not failed this VM lately
		hanging     int           // VMs whose requests hang
		answersSome bool          // it has answered a VM since requests hang at two

		hangingSpread time.Duration // between the first and the last of them
	}
)

// newMerger returns a merger of the evidence that counts now: that of this failure domain, since what
// fails for another one may be the fault of the links between them. A VM for which most upstreams fail
// does not count, unless it is so for all.
func (b *Board) newMerger(now time.Duration) *merger {
	m := &merger{board: b, now: now, peerCounts: map[string]Counts{}, slowServices: map[string]bool{}}
	seen, bad := b.seen(now)
	m.sick = Report{Seen: seen, Bad: bad}.sick()
	allSick := m.sick && len(b.heard) > 0
	for name, s := range b.heard {
		allSick = allSick && (s.sick || !b.near(name))
	}
	m.sick = m.sick && !allSick
	for name, s := range b.heard {
		if b.near(name) && (allSick || !s.sick) {
			m.names = append(m.names, name)
		}
	}
	slices.Sort(m.names)
	for _, name := range m.names {
		m.sources = append(m.sources, b.heard[name])
	}
	return m
}

// near reports whether a VM is in the failure domain of this one.
func (b *Board) near(name string) bool { return b.vms[name].Domain == b.vms[b.self].Domain }

// seen returns how many upstreams this VM has seen lately, and how many of them have answered
// nothing.
func (b *Board) seen(now time.Duration) (seen, bad int) {
	for _, r := range b.own {
		c := r.value(now)
		if c.samples() < leastCount {
			continue
		}
		seen++
		if c.FailureRatio() >= failedRatio {
			bad++
		}
	}
	return seen, bad
}

// merge returns the evidence about an upstream.
func (m *merger) merge(id uint64) (e merged) {
	e = merged{id: id}
	e.sightings = m.sightings(id)
	e.onset = onset(e.sightings)
	agreeing := 0
	for _, v := range e.sightings {
		e.add(v)
		if v.failingSince > 0 {
			agreeing++
		}
	}
	others := m.board.expected()
	e.unanimous = others > 0 && agreeing == len(e.sightings) && agreeing >= others
	m.noteOwnAnswers(&e)
	e.noteHanging(m.now)
	return e
}

// failsInARow reports whether two VMs see nothing but failures.
func (e merged) failsInARow() bool { return e.failing >= 2 && e.onset > 0 }

// failedSince returns how many other VMs have seen failures since a time.
func (e merged) failedSince(since time.Duration) (n int) {
	for _, v := range e.sightings {
		if !v.own && v.failedAt > since {
			n++
		}
	}
	return n
}

// answeredSince returns how many other VMs have had answers since a time.
func (e merged) answeredSince(since time.Duration) (n float64) {
	for _, v := range e.sightings {
		if !v.own && v.answeredAt > since {
			n++
		}
	}
	return n
}

// sightings returns what each VM that counts has seen of an upstream. What was reported of failures before
// the end of its last trial is settled.
func (m *merger) sightings(id uint64) (sightings []sighting) {
	cleared := m.board.subjects[id].clearedAt
	for i, s := range m.sources {
		if h, ok := s.entries[id]; ok && (h.failedAt == 0 || h.failedAt > cleared) {
			sightings = append(sightings, m.heardSighting(m.names[i], s, h))
		}
	}
	if r := m.board.own[id]; r != nil && !m.sick {
		sightings = append(sightings, m.ownSighting(r))
	}
	return sightings
}

// heardSighting returns what another VM has reported.
func (m *merger) heardSighting(name string, s *source, h heardEntry) sighting {
	v := sighting{
		name: name, counts: h.counts.times(decay(m.now - s.at)),
		failingSince: h.failingSince, answeredAt: h.answeredAt, failedAt: h.failedAt,
	}
	if m.now-s.at <= hangingTime {
		v.hangingSince = h.hangingSince
	}
	return v
}

// ownSighting returns what this VM has seen.
func (m *merger) ownSighting(r *record) sighting {
	v := sighting{
		name: m.board.self, own: true, counts: r.value(m.now),
		failingSince: r.failingSince, answeredAt: r.answeredAt, failedAt: r.failedAt,
	}
	if r.hangs(m.now) {
		v.hangingSince = r.hangingSince
	}
	return v
}

// onset returns the time since which two VMs have seen nothing but failures, or 0.
func onset(sightings []sighting) time.Duration {
	var streaks []time.Duration
	for _, v := range sightings {
		if v.failingSince > 0 {
			streaks = append(streaks, v.failingSince)
		}
	}
	if len(streaks) < 2 {
		return 0
	}
	slices.Sort(streaks)
	return streaks[1]
}

// add adds what one VM has seen.
func (e *merged) add(v sighting) {
	c := v.counts.bounded()
	e.counts = e.counts.plus(c)
	failing, slow := c.Failures() >= leastCount, c.Slow >= leastCount
	switch {
	case v.failingSince > 0:
		e.inARow += max(1, c.Failures())
	case e.onset > 0 && v.answeredAt > e.onset:
		e.split = true
	}
	if failing {
		e.failing++
	}
	if slow {
		e.slow++
	}
	if failing || slow {
		e.witnesses = append(e.witnesses, v.name)
	}
}

// noteOwnAnswers notes whether this VM has had answers since others see nothing but failures: then the
// upstream has not failed, but they don't reach it.
func (m *merger) noteOwnAnswers(e *merged) {
	r := m.board.own[e.id]
	if r == nil || e.onset == 0 || r.failingSince > 0 {
		return
	}
	good := r.answeredAt
	if e.counts.Failed < leastCount {
		good = max(good, r.openedAt)
	}
	e.answersHere = good > e.onset
	e.split = e.split || e.answersHere
	e.fineHere = e.answersHere && r.value(m.now).Failures() < leastCount
}
