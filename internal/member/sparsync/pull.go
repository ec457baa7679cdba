package sparsync

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// pullEvery is how long a pull is waited for before the next is begun.
const pullEvery = 250 * time.Millisecond

// wanted is settings that a peer has and this VM lacks.
type wanted struct {
	mark
	digest  uint64
	certain time.Duration
}

// Pulled takes the outcome of an Ask, after the registry has merged what came. The
// settings of the peer were complete at the time given; complete says that the registry
// holds at least what the peer holds. Where changes did not suffice for that, everything
// is asked for.
func (s *Sync) Pulled(from sparconfig.VM, reader string, certain time.Duration, complete bool, now time.Duration) []Output {
	s.alive(from, now)
	s.pulling = false
	if !complete {
		s.pulling, s.pulledAt = true, now
		return []Output{Ask{From: from}}
	}
	s.wanted = wanted{}
	s.confirm(certain, mark{reader: reader})
	return append(s.catchUp(now), s.tell(now)...)
}

// PullFailed takes the failure of an Ask.
func (s *Sync) PullFailed(now time.Duration) []Output {
	s.pulling = false
	return s.catchUp(now)
}

// want asks a peer for settings that this VM lacks. One pull is under way at a time, and
// none while the first reading of the platform is likely to bring everything.
func (s *Sync) want(n Notice, now time.Duration) []Output {
	starting := !s.Synced() && (s.readMoved == 0 || s.busy && now-s.readMoved < startPatience)
	if starting || s.pulling && now-s.pulledAt < pullEvery {
		n.Age -= now // the time at which it was complete, until it is taken up again
		s.missed = n
		return nil
	}
	after := s.held.Revision
	if !s.Synced() {
		after = 0
	}
	s.wanted = wanted{
		mark: mark{n.Reader, n.Round}, digest: n.Digest, certain: now - n.Age,
	}
	s.pulling, s.pulledAt = true, now
	return []Output{Ask{From: n.From, After: after}}
}

// catchUp takes up the last notice that came while a pull was under way.
func (s *Sync) catchUp(now time.Duration) []Output {
	n := s.missed
	s.missed = Notice{}
	if n.Reader == "" || n.Digest == s.held.Digest || s.Synced() && n.Revision < s.held.Revision {
		return nil
	}
	n.Age += now
	return s.want(n, now)
}
