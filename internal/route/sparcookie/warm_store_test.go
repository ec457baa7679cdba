package sparcookie_test

import (
	"maps"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparquota"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// put writes or, with a nil fact, removes an entry.
func (s *warmSite) put(key string, fact sparroster.Fact) {
	s.rev++
	s.facts = maps.Clone(s.facts)
	if fact == nil {
		delete(s.facts, key)
	} else {
		s.facts[key] = fact
		s.at[key] = sparregistry.Position{Era: s.era, Revision: s.rev}
	}
	s.publish()
}

func (s *warmSite) publish() {
	entries := []sparregistry.Entry{}
	for key := range s.facts {
		entries = append(entries, sparregistry.Entry{Key: key, Era: s.era, Revision: s.at[key].Revision})
	}
	registry := sparregistry.Registry{}.WithFullRead(entries, sparregistry.Position{Era: s.era, Revision: s.rev})
	facts := s.facts
	roster := sparroster.New(registry, func(key string, _ []byte) (sparroster.Fact, error) { return facts[key], nil })
	s.history = append(s.history, siteState{s.now, roster})
}

func (s *warmSite) setRate(rate float64) {
	s.rates = append(s.rates, siteRate{s.now, rate})
	s.put(sparroster.RoutingKey, sparroster.Routing{
		Version: 1, Idle: 15 * time.Second, Services: []sparroster.Service{{Name: booking, WarmRate: rate}},
		Routes: []sparroster.Route{{Address: bookingAddr, Targets: []sparroster.Target{{Service: booking, Weight: 1}}}},
	})
}

// limitFrom returns the highest limit that VMs may go by in the second from a moment on.
func (s *warmSite) limitFrom(from time.Duration) (limit float64) {
	for i, r := range s.rates {
		over := i+1 < len(s.rates) && s.rates[i+1].at < from-siteAge
		if over || r.at > from+time.Second {
			continue
		}
		for _, l := range s.limits {
			limit = max(limit, sparquota.Limit(r.rate, l.Overage, l.Slack))
		}
	}
	return limit
}

// checkLimits checks each second of each upstream, and returns the most openings in one.
func (s *warmSite) checkLimits() (most int) {
	s.t.Helper()
	for id, w := range s.warm {
		for i, from := range w.openings {
			n := 0
			for _, at := range w.openings[i:] {
				if at-from <= time.Second {
					n++
				}
			}
			most = max(most, n)
			if limit := s.limitFrom(from); float64(n) > limit {
				s.t.Fatalf("upstream %x got %d openings in the second from %v, limit %v; warm until %v", id, n, from, limit, w.until)
			}
		}
	}
	return most
}
