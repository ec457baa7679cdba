package sparsync

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// firstReaders is the number of VMs, in the order of names, that try the platform
	// without regard to what others have seen: enough that not all are cut off from a
	// platform that serves most.
	firstReaders = 16
	// staggerSteps is the number of steps of a takeover. Each step, twice as many VMs as
	// before have tried.
	staggerSteps = 8
	// lateShare is how much later than before each doubling of them tries a platform that
	// does not answer others, as a share of the time within which settings must be in force.
	lateShare = 0.3
	// outageFor is how long it is believed that the platform does not answer a VM.
	outageFor = 3 * time.Second
	// maxOutages is the number of them that a question tells.
	maxOutages = 4
)

// Outage says that the platform has not answered a VM, Age ago.
type Outage struct {
	VM  string
	Age time.Duration
}

// takeoverDue reports whether this VM, which hears nothing recent, is to read the platform.
// While others say that it does not answer them, those late in the order wait longer: a
// platform that is away is not called by a whole fleet.
func (s *Sync) takeoverDue(now time.Duration) bool {
	if s.Age(now) < s.share(takeoverShare) {
		return false
	}
	rank := s.rank()
	step := min(bits.Len(uint(rank)), staggerSteps)
	due := s.share(takeoverShare) + s.share(staggerShare)*time.Duration(step)/staggerSteps
	if late := bits.Len(uint(rank / firstReaders)); late > 0 && s.away(now) {
		due += s.share(lateShare) * time.Duration(late)
	}
	return s.Age(now) >= due
}

// rank returns the place of this VM in the order of names.
func (s *Sync) rank() int { return slices.Index(s.names(0), s.self.Name) }

// retryAfter returns how long to wait before the platform is tried again, and makes the next
// wait longer. Those late in the order try seldom, so that a fleet calls at a steady rate.
func (s *Sync) retryAfter() time.Duration {
	if group := s.rank() / firstReaders; group > 0 && s.Synced() {
		return retryLast * time.Duration(1+group)
	}
	wait := s.retry
	s.retry = min(2*s.retry, retryLast)
	return wait
}

// away reports whether another VM has said lately that the platform does not answer it.
func (s *Sync) away(now time.Duration) bool {
	for _, at := range s.outages {
		if now-at < outageFor {
			return true
		}
	}
	return false
}

// learn takes what a peer knows of outages.
func (s *Sync) learn(outages []Outage, now time.Duration) {
	for _, o := range outages {
		at, known := s.outages[o.VM]
		if o.Age < 0 || o.Age >= outageFor || known && now-o.Age <= at {
			continue
		}
		if !known && len(s.outages) >= maxOutages {
			continue
		}
		s.outages[o.VM] = now - o.Age
	}
}

// knownOutages returns the outages that this VM knows of, and forgets the old ones.
func (s *Sync) knownOutages(now time.Duration) []Outage {
	var list []Outage
	for name, at := range s.outages {
		if now-at >= outageFor {
			delete(s.outages, name)
			continue
		}
		list = append(list, Outage{VM: name, Age: now - at})
	}
	slices.SortFunc(list, func(a, b Outage) int { return cmp.Compare(a.VM, b.VM) })
	return list
}
