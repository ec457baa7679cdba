package sparsync

import (
	"slices"
	"time"
)

// Tick does what time makes due.
func (s *Sync) Tick(now time.Duration) []Output {
	var outs []Output
	if s.readDue(now) {
		s.busy = true
		outs = append(outs, Read{})
	}
	return append(outs, s.asks(now)...)
}

// readDue reports whether this VM is to read the platform now. One that follows
// does so only once its settings are old and the VMs before it have had their turn.
func (s *Sync) readDue(now time.Duration) bool {
	if s.busy || now < s.readAt {
		return false
	}
	if chart.Has(s.state, readsMark) {
		return true
	}
	rank := min(slices.Index(s.names(0), s.self.Name), staggerSteps)
	stagger := s.share(staggerShare) * time.Duration(rank) / staggerSteps
	return s.Age(now) >= s.share(takeoverShare)+stagger
}

// ReadDone takes the outcome of a reading that began at a time.
func (s *Sync) ReadDone(began time.Duration, held Held, now time.Duration) []Output {
	s.busy = false
	s.held = held
	s.wanted = wanted{}
	if s.failing {
		s.failing, s.returned = false, now
	}
	s.retry = retryFirst
	s.readAt = began + s.share(readShare)
	if s.Synced() {
		s.state = chart.Next(s.state, "stale")
	}
	s.rounds++
	s.confirm(began, mark{s.self.Name, s.rounds})
	return s.tell(now)
}

// ReadFailed takes the failure of a reading.
func (s *Sync) ReadFailed(now time.Duration) {
	s.busy, s.failing = false, true
	s.readAt = now + s.retry
	s.retry = min(2*s.retry, retryLast)
}

// yield leaves reading to the reader of a notice, if that one comes first in the
// order of names or this VM cannot read.
func (s *Sync) yield(n Notice) {
	if !chart.Has(s.state, tellsMark) || n.Reader == s.self.Name || n.Age >= s.share(askShare) {
		return
	}
	names := s.names(0)
	before := slices.Index(names, n.Reader)
	if s.failing || before >= 0 && before < slices.Index(names, s.self.Name) {
		s.state = chart.Next(s.state, "outranked")
	}
}

// asks asks some peers in turn while the settings here are old.
func (s *Sync) asks(now time.Duration) []Output {
	if now-s.askedAt < askEvery || s.Synced() && s.Age(now) < s.share(askShare) {
		return nil
	}
	s.askedAt = now
	peers := s.reachable(now)
	var outs []Output
	for range min(askFan, len(peers)) {
		s.asked++
		outs = append(outs, s.enquire(peers[s.asked%len(peers)].vm, now))
	}
	return outs
}

// reachable returns the peers heard lately, or all and the seeds where there is none.
func (s *Sync) reachable(now time.Duration) []*peer {
	var heard, all []*peer
	for _, name := range s.names(0) {
		p := s.peers[name]
		if p == nil {
			continue
		}
		all = append(all, p)
		if p.heard > 0 && now-p.heard < aliveFor {
			heard = append(heard, p)
		}
	}
	if len(heard) > 0 {
		return heard
	}
	return append(all, s.seeds...)
}
