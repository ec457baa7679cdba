package sparsync

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// maxPause is the time between two ticks from which on this VM was paused: many times the
// interval of the ticks.
const maxPause = 500 * time.Millisecond

type (
	// Timestamp is a time by the clock of one run of a VM. Clocks of different runs can't be
	// compared. The zero Timestamp is none.
	Timestamp struct {
		Incarnation uint32 // identifies the run
		At          time.Duration
	}

	// Timing is sent with each datagram. It shows the receiver how long the datagram has been
	// under way, which includes the time that it waited for a receiver that was paused.
	Timing struct {
		Sent Timestamp     // by the clock of the sender
		Echo Timestamp     // Sent of the last datagram that the sender got from the receiver
		Held time.Duration // from the receipt of that datagram until Sent
	}
)

// timing returns the timing of a datagram to a peer.
func (s *Sync) timing(to string, now time.Duration) Timing {
	t := Timing{Sent: Timestamp{Incarnation: s.incarnation, At: now}}
	if p := s.peers[to]; p != nil && p.echo != (Timestamp{}) {
		t.Echo, t.Held = p.echo, now-p.echoAt
	}
	return t
}

// UnderWay returns how long a datagram has been under way at most, since its echo had left this
// VM before it was sent. ok is false if it has no echo of this run: nothing then tells.
func (s *Sync) UnderWay(t Timing, now time.Duration) (d time.Duration, ok bool) {
	if t.Echo.Incarnation != s.incarnation || t.Echo.At <= 0 {
		return 0, false
	}
	return max(now-t.Echo.At-t.Held, 0), true
}

// received records a datagram from a peer. It returns the earliest time at which the datagram
// can have been sent. ok is false if nothing tells how long it has been under way.
func (s *Sync) received(from sparconfig.VM, t Timing, now time.Duration) (sent time.Duration, ok bool) {
	d, ok := s.UnderWay(t, now)
	sent = now - d
	s.markAlive(from, sent)
	if p := s.peers[from.Name]; p != nil && t.Sent != (Timestamp{}) {
		p.echo, p.echoAt = t.Sent, now
	}
	return sent, ok
}

// verify queries the sender of a notification that may have been under way for long, if its
// settings are fresher than those of this VM unless it has. The reply echoes the query. If it
// does not, the sender is of a build without echoes.
func (s *Sync) verify(n Notification, now time.Duration) []Output {
	p := s.peers[n.From.Name]
	switch {
	case p == nil || s.Synced() && now-n.Age <= s.freshAt:
		return nil
	case p.verifiedAt > 0 && now-p.verifiedAt < queryInterval:
		return s.pullUnverified(n, now)
	}
	p.verifiedAt = now
	return []Output{s.query(n.From, now)}
}

// pullUnverified pulls settings that this VM lacks, after a notification that says nothing about
// their age. The reply to the pull does.
func (s *Sync) pullUnverified(n Notification, now time.Duration) []Output {
	if n.Digest == s.held.Digest || s.Synced() && n.At.Compare(s.held.At) < 0 {
		return nil
	}
	s.start.peerStale = true
	n.Age = now
	return s.pull(n, now)
}

// notePause records the time of a tick, and whether this VM was paused before it.
func (s *Sync) notePause(now time.Duration) {
	if s.tickedAt > 0 && now-s.tickedAt > maxPause {
		s.resumedAt = now
	}
	s.tickedAt = now
}

// pausedRecently reports whether datagrams handled now may have waited for this VM.
func (s *Sync) pausedRecently(now time.Duration) bool {
	return now-s.tickedAt > maxPause || s.resumedAt > 0 && now-s.resumedAt < outageTTL
}
