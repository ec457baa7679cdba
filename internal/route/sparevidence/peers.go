package sparevidence

import "time"

// peers returns the counts of the upstreams of a service about which there is no evidence, with
// equal parts of all VMs.
func (m *merger) peers(service string) Counts {
	if c, ok := m.peerCounts[service]; ok {
		return c
	}
	c := m.board.others(service, m.now).bounded()
	for _, s := range m.sources {
		e := s.services[service]
		c = c.plus(e.Others.times(decay(m.now - e.at)).bounded())
	}
	m.peerCounts[service] = c
	return c
}

// others returns what this VM has seen of the upstreams of a service that are no subjects, or of
// all of them if most are: then the service is overloaded or most of it fails.
func (b *Board) others(service string, now time.Duration) Counts {
	s := b.ownService[service]
	if s == nil {
		return Counts{}
	}
	total := s.value(now)
	c, subjects := total, 0
	for id := range b.subjects {
		if b.upstreams[id].Service != service {
			continue
		}
		subjects++
		if r := b.own[id]; r != nil {
			c = c.plus(r.value(now).times(-1))
		}
	}
	if 2*subjects > b.services[service] {
		return total
	}
	return c.atLeastZero()
}

// atLeastZero removes the rounding errors of a difference.
func (c Counts) atLeastZero() Counts {
	c.Answered = max(0, c.Answered)
	return Counts{
		Opened: max(0, c.Opened), Unanswered: max(0, c.Unanswered),
		Answered: c.Answered, Slow: min(max(0, c.Slow), c.Answered), Failed: max(0, c.Failed),
	}
}
