package sparadmit

import (
	"math"
	"time"
)

const (
	// floor is the share of the flows of each priority that is always admitted.
	floor = 0.05
	// MaxPriority is the least urgent priority that is told from others.
	MaxPriority = 7
	// mixSpan is the decay time of the number of flows of each priority.
	mixSpan = time.Second
	// retrySpan is how long a client address is remembered after a refusal.
	retrySpan = 500 * time.Millisecond
	// refusedClients is the number of client addresses that are remembered.
	refusedClients = 256
)

type (
	// Opening is a new flow.
	Opening struct {
		Client   uint32 // its address
		Priority int    // 0 is the most urgent
	}

	// shedder spreads refusals over priorities.
	shedder struct {
		classes [MaxPriority + 1]class
		at      time.Duration // last decay of the numbers
		clients [refusedClients]refusedClient
	}

	// class is the flows of one priority.
	class struct {
		flows float64 // over mixSpan
		owed  float64 // refusals that are due; below 0 after retries were refused early
	}

	// refusedClient is a client address with the time of its last refusal.
	refusedClient struct {
		address uint32
		at      time.Duration
	}
)

// ClassOf returns the class of a priority, from 0 to MaxPriority.
func ClassOf(priority int) int { return min(max(priority, 0), MaxPriority) }

// Admit reports whether a new flow is admitted.
func (l *Limiter) Admit(now time.Duration, o Opening) bool {
	l.Advance(now)
	return l.shedder.admit(now, o, l.share())
}

func (s *shedder) admit(now time.Duration, o Opening, refused float64) bool {
	priority := ClassOf(o.Priority)
	s.count(now, priority)
	c := &s.classes[priority]
	share := s.shareOf(priority, refused)
	if share == 0 {
		c.owed = 0
		return true
	}
	c.owed += share
	due := 1.0
	if s.wasRefused(now, o.Client) {
		due = share // a retry is refused before the next first try would be
	}
	if c.owed < due {
		return true
	}
	c.owed--
	*s.client(o.Client) = refusedClient{address: o.Client, at: now}
	return false
}

// count counts a flow of a priority.
func (s *shedder) count(now time.Duration, priority int) {
	if s.at == 0 {
		s.at = now
	}
	if passed := now - s.at; passed >= interval {
		kept := math.Exp(-passed.Seconds() / mixSpan.Seconds())
		for i := range s.classes {
			s.classes[i].flows *= kept
		}
		s.at = now
	}
	s.classes[priority].flows++
}

// shareOf returns the share of the flows of a priority that is refused, if refused is the share
// of all flows: the less urgent ones come first.
func (s *shedder) shareOf(priority int, refused float64) float64 {
	total := 0.0
	for _, c := range s.classes {
		total += c.flows
	}
	left := refused * total
	for p := MaxPriority; p > priority; p-- {
		left -= min(left, (1-floor)*s.classes[p].flows)
	}
	return min(left/s.classes[priority].flows, 1-floor)
}

// wasRefused reports whether the client address was refused a moment ago. Then the flow is
// likely a retry.
func (s *shedder) wasRefused(now time.Duration, client uint32) bool {
	r := s.client(client)
	return r.at > 0 && r.address == client && now-r.at < retrySpan
}

// client returns the place of a client address. A place is shared by several addresses; the
// last one refused is remembered.
func (s *shedder) client(address uint32) *refusedClient {
	return &s.clients[(address*2654435769)>>24]
}
