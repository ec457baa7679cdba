package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// deltaTimeout is the time without progress after which a pull of changes no longer keeps
	// another one from starting.
	deltaTimeout = 250 * time.Millisecond
	// fullTimeout is the same for a pull of everything, which takes longer by about the same
	// factor on a slow link.
	fullTimeout = time.Second
	// overloadDelay is how long to wait before the next pull after a peer refused one because
	// of overload: about the time that it takes to serve one pull.
	overloadDelay = 100 * time.Millisecond
)

// target identifies the settings that the pull under way is to bring.
type target struct {
	readRound
	digest  uint64
	freshAt time.Duration
}

// Pulled is called when a Pull has succeeded and the registry has merged the reply. The
// settings of the peer were complete at freshAt. complete reports whether the registry now
// holds at least what the peer holds; if the changes did not suffice for that, a full copy
// is pulled.
func (s *Sync) Pulled(from sparconfig.VM, reader string, freshAt time.Duration, complete bool, now time.Duration) []Output {
	s.markAlive(from, now)
	s.pulling = false
	if !complete {
		return []Output{s.startPull(Pull{From: from}, now)}
	}
	s.target = target{}
	s.markFresh(freshAt, readRound{reader: reader})
	return slices.Concat(s.pullDeferred(now), s.forward(now), s.notifyWaiting(now))
}

// PullRefused is called when a peer refuses a Pull because it is overloaded. referral, if it
// has a name, is another peer that holds the same settings.
func (s *Sync) PullRefused(from, referral sparconfig.VM, now time.Duration) []Output {
	s.markAlive(from, now)
	s.start.lastReply = now
	s.pulling = false
	if s.deferred.Reader == "" {
		s.deferred = s.current
	}
	s.nextPull = now + overloadDelay
	if referral.Name != "" && referral.Name != s.self.Name {
		s.deferred.From, s.nextPull = referral, now
	}
	return s.pullDeferred(now)
}

// PullFailed is called when a Pull has failed.
func (s *Sync) PullFailed(now time.Duration) []Output {
	s.pulling = false
	return s.pullDeferred(now)
}

// pull starts a pull of the settings that a peer announces, or defers it. Only one pull is
// under way at a time, and none while the first read of the platform is likely to bring
// everything.
func (s *Sync) pull(n Notification, now time.Duration) []Output {
	if s.pullPending(now) || now < s.nextPull || !s.Synced() && s.preferRead(n, now) {
		n.Age -= now // age at time 0; pullDeferred converts it back
		s.deferred = n
		return nil
	}
	after := s.held.At
	if !s.Synced() || after.Revision == 0 || after.Era != n.At.Era {
		after = sparregistry.Position{}
	}
	s.target = target{
		readRound: readRound{n.Reader, n.Round}, digest: n.Digest, freshAt: now - n.Age,
	}
	s.current = n
	s.current.Age -= now
	return []Output{s.startPull(Pull{From: n.From, After: after}, now)}
}

// startPull records that a pull is under way, with its deadline.
func (s *Sync) startPull(p Pull, now time.Duration) Output {
	s.pullTimeout = deltaTimeout
	if p.After.IsZero() {
		s.pullTimeout = fullTimeout
	}
	s.pulling, s.pullDeadline = true, now+s.pullTimeout
	return p
}

// PullProgressed is called while the settings that a Pull requested are arriving.
func (s *Sync) PullProgressed(now time.Duration) { s.pullDeadline = now + s.pullTimeout }

// pullPending reports whether a pull is under way and has not timed out.
func (s *Sync) pullPending(now time.Duration) bool { return s.pulling && now < s.pullDeadline }

// preferRead reports whether a VM without settings does not pull those of a notification:
// its own read of the platform is about to end, or the settings are old and it has not yet
// tried to read.
func (s *Sync) preferRead(n Notification, now time.Duration) bool {
	if s.reading {
		return now-s.readBegan < firstReadTimeout
	}
	return n.Age >= s.share(takeoverShare) && !s.failing
}

// pullDeferred pulls the settings of the last deferred notification if they are still
// missing.
func (s *Sync) pullDeferred(now time.Duration) []Output {
	n := s.deferred
	if n.Reader == "" || now < s.nextPull {
		return nil
	}
	s.deferred = Notification{}
	if n.Digest == s.held.Digest || s.Synced() && n.At.Compare(s.held.At) < 0 {
		return nil
	}
	n.Age += now
	return s.pull(n, now)
}
