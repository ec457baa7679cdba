package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

// Tick does what time makes due.
func (s *Sync) Tick(now time.Duration) []Output {
	var outs []Output
	if s.start.began == 0 {
		s.start.began = now
	}
	if s.readDue(now) {
		s.busy, s.readBegan = true, now
		outs = append(outs, s.read(now))
	}
	if s.peekDue(now) {
		s.start.peek.at = now
		outs = append(outs, Peek{})
	}
	if !s.pullsStill(now) {
		outs = append(outs, s.catchUp(now)...)
	}
	return slices.Concat(outs, s.asks(now), s.enlist(now))
}

// readDue reports whether this VM is to read the platform now. One that follows
// does so only once its settings are old and the VMs before it have had their turn.
func (s *Sync) readDue(now time.Duration) bool {
	if s.busy || now < s.readAt {
		return false
	}
	if !s.Synced() {
		return s.startDue(now)
	}
	return chart.Has(s.state, readsMark) || s.takeoverDue(now)
}

// read asks for a reading. Changes do where everything would be too much to read each
// time. Just after an outage of the platform they do not: an entry may have lapsed that
// is to be kept for a while, and only a whole reading tells that it is missing still.
func (s *Sync) read(now time.Duration) Output {
	budget := int(controlRate * s.share(readShare).Seconds())
	if !s.Synced() || s.failing || s.Settling(now) || s.size <= budget {
		return Read{}
	}
	return Read{After: s.held.Revision}
}

// ReadDone takes the outcome of a reading that began at a time. size is the number of
// bytes of a whole reading, 0 for one of changes.
func (s *Sync) ReadDone(began time.Duration, held Held, size int, now time.Duration) []Output {
	if size > 0 {
		s.size = size
	}
	s.busy = false
	s.held = held
	s.wanted, s.missed = wanted{}, Notice{}
	if s.failing {
		s.failing, s.returned = false, now
	}
	s.retry = retryFirst
	s.readAt = began + s.share(readShare)
	if s.Synced() {
		s.state = chart.Next(s.state, "stale")
	}
	s.rounds++
	clear(s.outages)
	s.confirm(began, mark{s.self.Name, s.rounds})
	return append(s.tell(now), s.release(now)...)
}

// ReadBroken takes a reading of changes that left some out, so that it proves nothing.
// Everything is read in its place, and counts from then on.
func (s *Sync) ReadBroken(now time.Duration) []Output {
	s.readBegan = now
	return []Output{Read{}}
}

// ReadFailed takes the failure of a reading.
func (s *Sync) ReadFailed(now time.Duration) []Output {
	s.busy, s.failing = false, true
	s.readAt = now + s.retryAfter()
	s.outages[s.self.Name] = now
	return s.catchUp(now)
}

// yield leaves reading to the reader of a notice, if that one comes first in the
// order of names or this VM cannot read.
func (s *Sync) yield(n Notice) {
	if !chart.Has(s.state, tellsMark) || n.Reader == s.self.Name || n.Age >= s.share(askShare) {
		return
	}
	if s.failing || s.before(n.Reader, s.self.Name) {
		s.state = chart.Next(s.state, "outranked")
	}
}

// outrank tells a reader of one that comes before it. Their rounds may hide each
// other: VMs pass on only what is more recent than what they know.
func (s *Sync) outrank(n Notice, now time.Duration) []Output {
	if n.From.Name != n.Reader || n.Reader == s.source.reader || s.Age(now) >= s.share(askShare) ||
		!s.before(s.source.reader, n.Reader) {
		return nil
	}
	return []Output{Notify{To: n.From, Notice: s.notice(now)}}
}

// before reports whether VM a comes before VM b in the order of names.
func (s *Sync) before(a, b string) bool {
	names := s.names(0)
	first := slices.Index(names, a)
	return first >= 0 && first < slices.Index(names, b)
}

// asks asks some peers in turn while the settings here are old: one that was heard
// lately, one of the same failure domain, which a cut leaves in reach, and any one. Each VM
// begins with another one, so that a fleet whose settings are old asks all of its VMs.
func (s *Sync) asks(now time.Duration) []Output {
	if s.asked > 0 && now-s.askedAt < askEvery || s.Synced() && s.Age(now) < s.share(askShare) {
		return nil
	}
	s.askedAt = now
	s.asked++
	if s.asked == 1 && !s.Synced() {
		return s.askSeeds(now)
	}
	var heard, near, all []*peer
	for _, name := range s.names(0) {
		p := s.peers[name]
		if p == nil {
			continue
		}
		all = append(all, p)
		if p.alive(now) {
			heard = append(heard, p)
		}
		if p.vm.Domain == s.self.Domain {
			near = append(near, p)
		}
	}
	all = append(all, s.seeds...)
	turn := s.asked + int(sparrank.Name(s.self.Name)>>33)
	var outs []Output
	for _, peers := range [][]*peer{heard, near, all} {
		if len(peers) > 0 {
			outs = append(outs, s.enquire(peers[turn%len(peers)].vm, now))
		}
	}
	return outs
}
