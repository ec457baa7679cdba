package sparsync

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// firstReaders is the number of VMs, highest precedence first, that try the platform
	// even if other VMs report an outage. It is large enough that they are not all cut
	// off from a platform that serves most VMs.
	firstReaders = 16
	// staggerSteps is the number of steps of a takeover. Each step doubles the number of
	// VMs that have tried to read.
	staggerSteps = 8
	// outageDelayShare is the extra delay of each doubling beyond firstReaders while other
	// VMs report an outage, as a share of the bound.
	outageDelayShare = 0.3
	// outageTTL is how long a reported outage counts.
	outageTTL = 3 * time.Second
	// maxOutages is the number of outages on record from which on no VMs are added from the
	// queries of peers. It limits the size of queries.
	maxOutages = 4
)

// Outage reports that the platform failed to answer a VM, Age before the report was sent.
type Outage struct {
	VM  string
	Age time.Duration
}

// takeoverDue reports whether this VM, whose settings are old, is to read the platform.
// While other VMs report an outage, VMs of lower precedence wait longer, so that a whole
// fleet does not call a platform that is down.
func (s *Sync) takeoverDue(now time.Duration) bool {
	if s.Age(now) < s.share(takeoverShare) {
		return false
	}
	rank := s.rank()
	step := min(bits.Len(uint(rank)), staggerSteps)
	due := s.share(takeoverShare) + s.share(staggerShare)*time.Duration(step)/staggerSteps
	if doublings := bits.Len(uint(rank / firstReaders)); doublings > 0 && s.outageReported(now) {
		due += s.share(outageDelayShare) * time.Duration(doublings)
	}
	return s.Age(now) >= due
}

// rank returns the position of this VM in the order of precedence, 0 for the highest.
func (s *Sync) rank() int { return slices.Index(s.names(precedence), s.self.Name) }

// nextBackoff returns how long to wait before the platform is tried again, and doubles the
// next delay up to maxBackoff. For synced VMs beyond firstReaders the delay grows with their
// rank instead, so that the rate of calls does not grow with the fleet.
func (s *Sync) nextBackoff() time.Duration {
	if group := s.rank() / firstReaders; group > 0 && s.Synced() {
		return maxBackoff * time.Duration(1+group)
	}
	wait := s.backoff
	s.backoff = min(2*s.backoff, maxBackoff)
	return wait
}

// outageReported reports whether an outage is on record that is younger than outageTTL.
func (s *Sync) outageReported(now time.Duration) bool {
	for _, at := range s.outages {
		if now-at < outageTTL {
			return true
		}
	}
	return false
}

// mergeOutages merges the outages that a peer reported at the time sent.
func (s *Sync) mergeOutages(outages []Outage, sent time.Duration) {
	for _, o := range outages {
		at, known := s.outages[o.VM]
		if o.Age < 0 || o.Age >= outageTTL || known && sent-o.Age <= at {
			continue
		}
		if !known && len(s.outages) >= maxOutages {
			continue
		}
		s.outages[o.VM] = sent - o.Age
	}
}

// recentOutages returns the outages on record, and deletes those older than outageTTL.
func (s *Sync) recentOutages(now time.Duration) []Outage {
	var list []Outage
	for name, at := range s.outages {
		if now-at >= outageTTL {
			delete(s.outages, name)
			continue
		}
		list = append(list, Outage{VM: name, Age: now - at})
	}
	slices.SortFunc(list, func(a, b Outage) int { return cmp.Compare(a.VM, b.VM) })
	return list
}
