package sparevidence

import (
	"slices"
	"time"
)

const (
	// hangingVMs is the number of VMs at which requests have to hang before an upstream is ejected for it. A
	// request of one VM may hang there because its flow has moved; those of four to the same upstream
	// hardly all do, while it answers none of them.
	hangingVMs = 4
	// hangingSpread is the least time between the first and the last of them: requests whose flows move
	// together hang together.
	hangingSpread = 200 * time.Millisecond
	// hangingTime is how long a request that hangs counts. Clients give up after some seconds, and then it is
	// a failure.
	hangingTime = 3 * time.Second
	// hangingShare is the share of the upstreams of a service, one in so many, at which requests may hang.
	// Above it the service as a whole is slow.
	hangingShare = 3
)

// noteHanging notes a request of this VM that hangs.
func (b *Board) noteHanging(now time.Duration, id uint64) {
	r := b.own[id]
	if r.hangingSince == 0 || !r.hangs(now) {
		r.hangingSince = now
	}
	r.hungAt = now
	b.urgent = true
	b.doubtHanging(now, id)
}

// hangs reports whether requests hang and none was answered since.
func (r *record) hangs(now time.Duration) bool {
	return r.hangingSince > 0 && now-r.hungAt <= hangingTime
}

// doubtHanging makes an upstream a subject once requests of two VMs hang there, so that others tell their
// answers.
func (b *Board) doubtHanging(now time.Duration, id uint64) {
	if b.hangingAt(now, id) >= 2 {
		b.subject(id, now)
		b.changed = true
	}
}

// hangingAt returns the number of VMs of this failure domain whose requests to an upstream hang.
func (b *Board) hangingAt(now time.Duration, id uint64) (n int) {
	if r := b.own[id]; r != nil && r.hangs(now) {
		n++
	}
	for name, s := range b.heard {
		if s.entries[id].hangingSince > 0 && now-s.at <= hangingTime && !s.sick && b.near(name) {
			n++
		}
	}
	return n
}

// noteHanging counts the VMs whose requests hang, and notes whether any VM has had an answer since the
// second of them.
func (e *merged) noteHanging(now time.Duration) {
	var since []time.Duration
	for _, v := range e.sightings {
		if v.hangingSince > 0 {
			since = append(since, v.hangingSince)
		}
	}
	if e.hanging = len(since); e.hanging < 2 {
		return
	}
	slices.Sort(since)
	e.hangingSpread = since[len(since)-1] - since[0]
	for _, v := range e.sightings {
		e.answersSome = e.answersSome || v.answeredAt > since[1]
	}
}

// hangs reports whether an upstream answers no request any more, though nobody has seen one fail yet.
func (m *merger) hangs(e merged) bool {
	if e.hanging < hangingVMs || e.hangingSpread < hangingSpread || e.answersSome {
		return false
	}
	return !m.board.reaches(e.id, m.now) && !m.slow(m.board.upstreams[e.id].Service)
}

// slow reports whether requests hang at so many upstreams of a service that its upstreams are not to blame.
func (m *merger) slow(service string) bool {
	if slow, ok := m.slowServices[service]; ok {
		return slow
	}
	seen, hanging := 0, 0
	for id := range m.board.own {
		if m.board.upstreams[id].Service != service {
			continue
		}
		seen++
		if m.board.hangingAt(m.now, id) >= 2 {
			hanging++
		}
	}
	m.slowServices[service] = hangingShare*hanging > seen
	return m.slowServices[service]
}
