package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// changesPatience is how long a pull of changes is waited for before another is begun.
	changesPatience = 250 * time.Millisecond
	// wholePatience is the same for a pull of everything, which takes as many times longer
	// on a slow link.
	wholePatience = time.Second
	// busyWait is how long a peer that serves others is left alone: about what one of them
	// takes.
	busyWait = 100 * time.Millisecond
)

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
		return []Output{s.ask(Ask{From: from}, now)}
	}
	s.wanted = wanted{}
	s.confirm(certain, mark{reader: reader})
	return slices.Concat(s.catchUp(now), s.tell(now), s.release(now))
}

// PullBusy takes the word of a peer that it serves too many others at the moment.
// elsewhere, if it has a name, holds the same settings.
func (s *Sync) PullBusy(from, elsewhere sparconfig.VM, now time.Duration) []Output {
	s.alive(from, now)
	s.start.answered = now
	s.pulling = false
	if s.missed.Reader == "" {
		s.missed = s.asking
	}
	s.pullAt = now + busyWait
	if elsewhere.Name != "" && elsewhere.Name != s.self.Name {
		s.missed.From, s.pullAt = elsewhere, now
	}
	return s.catchUp(now)
}

// PullFailed takes the failure of an Ask.
func (s *Sync) PullFailed(now time.Duration) []Output {
	s.pulling = false
	return s.catchUp(now)
}

// want asks a peer for settings that this VM lacks. One pull is under way at a time, and
// none while a first reading of the platform is likely to bring everything.
func (s *Sync) want(n Notice, now time.Duration) []Output {
	if s.pullsStill(now) || now < s.pullAt || !s.Synced() && s.readsFirst(n, now) {
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
	s.asking = n
	s.asking.Age -= now
	return []Output{s.ask(Ask{From: n.From, After: after}, now)}
}

// ask begins a pull.
func (s *Sync) ask(a Ask, now time.Duration) Output {
	s.pulling, s.pullUntil = true, now+changesPatience
	if a.After == 0 {
		s.pullUntil = now + wholePatience
	}
	return a
}

// pullsStill reports whether a pull is under way and still waited for.
func (s *Sync) pullsStill(now time.Duration) bool { return s.pulling && now < s.pullUntil }

// readsFirst reports whether a VM without settings leaves those of a notice, since its own
// reading of the platform will soon end, or since they are old and it has not tried to.
func (s *Sync) readsFirst(n Notice, now time.Duration) bool {
	if s.busy {
		return now-s.readBegan < readPatience
	}
	return n.Age >= s.share(takeoverShare) && !s.failing
}

// catchUp takes up the last notice that could not be followed when it came.
func (s *Sync) catchUp(now time.Duration) []Output {
	n := s.missed
	if n.Reader == "" || now < s.pullAt {
		return nil
	}
	s.missed = Notice{}
	if n.Digest == s.held.Digest || s.Synced() && n.Revision < s.held.Revision {
		return nil
	}
	n.Age += now
	return s.want(n, now)
}
