package sparsync

import (
	"math/bits"
	"time"
)

const (
	// reclaimShare is how long, as a share of the bound, a VM of a higher class leaves reading to
	// one of a lower class, so that a VM that restarts again and again does not take it each time.
	reclaimShare = 2
	// reclaimStagger is the extra delay, as a share of the bound, of each doubling of the rank.
	reclaimStagger = 0.25
)

// noteReader records since when the reader is one that this VM is to replace.
func (s *Sync) noteReader(now time.Duration) {
	switch {
	case !s.outclasses(s.source.reader):
		s.reclaimFrom = 0
	case s.reclaimFrom == 0:
		s.reclaimFrom = now
	}
}

// outclasses reports whether the VM called reader has a lower class and a lower precedence than
// this VM. A reader whose class is unknown may be of an older build, which would not yield.
func (s *Sync) outclasses(reader string) bool {
	p := s.peers[reader]
	return p != nil && p.standing.class > 0 && p.standing.class < s.standing.class && s.precedes(s.self.Name, reader)
}

// reclaimDue reports whether this VM is to read the platform in place of a VM of a lower class,
// which took over while those of higher classes were down. If the read fails the time starts anew.
func (s *Sync) reclaimDue(now time.Duration) bool {
	if s.reclaimFrom == 0 {
		return false
	}
	steps := time.Duration(bits.Len(uint(s.rank())))
	return now-s.reclaimFrom >= s.share(reclaimShare)+s.share(reclaimStagger)*steps
}
