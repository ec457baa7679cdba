package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

// Tick returns the actions that are due at now. It must be called regularly.
func (s *Sync) Tick(now time.Duration) []Output {
	var outs []Output
	s.notePause(now)
	s.noteReader(now)
	if s.start.began == 0 {
		s.start.began = now
	}
	if s.readDue(now) {
		s.reading, s.readBegan = true, now
		outs = append(outs, s.read(now))
	}
	if s.listingDue(now) {
		s.start.listing.at = now
		outs = append(outs, ListVMs{})
	}
	if !s.pullPending(now) {
		outs = append(outs, s.pullDeferred(now)...)
	}
	return slices.Concat(outs, s.queryPeers(now), s.register(now))
}

// readDue reports whether this VM is to read the platform now. A follower does so only
// once its settings are old and VMs of higher precedence have had time to take over, or to
// replace a reader of a lower class.
func (s *Sync) readDue(now time.Duration) bool {
	if s.reading || now < s.nextRead {
		return false
	}
	if !s.Synced() {
		return s.startDue(now)
	}
	return chart.Has(s.state, readsMark) || s.takeoverDue(now) || s.reclaimDue(now)
}

// read requests a read, an incremental one where a full read each time would exceed
// controlRate. After a failure or a restore, and until the platform has settled, reads are
// full: an entry that this VM keeps for a while may have expired, and only a full read shows
// whether it is still missing.
func (s *Sync) read(now time.Duration) Output {
	budget := int(controlRate * s.share(readShare).Seconds())
	if !s.Synced() || s.failing || s.Settling(now) || s.held.At.Revision == 0 || s.size <= budget {
		return Read{}
	}
	return Read{After: s.held.At, Limit: s.changesLimit(now)}
}

// changesLimit returns the number of bytes above which changes are not worth reading: a full
// read then takes little longer, and is never larger. It is 0 shortly after changes were above
// it.
func (s *Sync) changesLimit(now time.Duration) int {
	if s.largeAt > 0 && now-s.largeAt < largeTime {
		return 0
	}
	return max(s.size/4, min(s.size, smallRead))
}

// ReadDone is called when a read that began at began has succeeded and held is what the
// registry now holds. size is the number of bytes of a full read, 0 for an incremental one.
func (s *Sync) ReadDone(began time.Duration, held Held, size int, now time.Duration) []Output {
	if size > 0 {
		s.size = size
	}
	s.reading = false
	s.held = held
	s.target, s.deferred = target{}, Notification{}
	if s.failing {
		s.failing, s.recoveredAt = false, now
	}
	s.backoff = minBackoff
	s.nextRead = began + s.share(readShare)
	if s.Synced() {
		s.state = chart.Next(s.state, "stale")
	}
	s.rounds++
	clear(s.outages)
	s.markFresh(began, readRound{s.self.Name, s.rounds})
	return append(s.forward(now), s.notifyWaiting(now)...)
}

// ReadIncomplete is called when an incremental read lacks some changes, so that it says nothing
// about freshness. A full read takes its place and begins at now. tooLarge reports whether the
// changes had more bytes than the Limit of the read, if that was above 0.
func (s *Sync) ReadIncomplete(tooLarge bool, now time.Duration) []Output {
	s.readBegan = now
	if tooLarge {
		s.largeAt = now
	}
	return []Output{Read{}}
}

// ReadFailed is called when a read has failed.
func (s *Sync) ReadFailed(now time.Duration) []Output {
	s.reading, s.failing, s.reclaimFrom = false, true, 0
	s.nextRead = now + s.nextBackoff()
	s.outages[s.self.Name] = now
	return s.pullDeferred(now)
}

// yieldTo stops this VM from reading if the reader of a notification has higher precedence,
// or if the reads of this VM fail.
func (s *Sync) yieldTo(n Notification) {
	if !chart.Has(s.state, tellsMark) || n.Reader == s.self.Name || n.Age >= s.share(queryShare) {
		return
	}
	if s.failing || s.precedes(n.Reader, s.self.Name) {
		s.state = chart.Next(s.state, "outranked")
	}
}

// notifyOutranked notifies a reader that another reader has higher precedence. The two
// may never receive each other's notifications, since VMs forward only those that are
// fresher than their own settings.
func (s *Sync) notifyOutranked(n Notification, now time.Duration) []Output {
	if n.From.Name != n.Reader || n.Reader == s.source.reader || s.Age(now) >= s.share(queryShare) ||
		!s.precedes(s.source.reader, n.Reader) {
		return nil
	}
	return []Output{s.notify(n.From, now)}
}

// precedes reports whether VM a has higher precedence than VM b.
func (s *Sync) precedes(a, b string) bool {
	names := s.names(precedence)
	first := slices.Index(names, a)
	return first >= 0 && first < slices.Index(names, b)
}

// queryPeers queries up to three peers in rotation while the settings are old: a reachable
// one, one of the same failure domain, which a network partition usually leaves in reach,
// and any one. Each VM starts the rotation at a different peer, so that a fleet whose
// settings are old queries all of its VMs.
func (s *Sync) queryPeers(now time.Duration) []Output {
	if s.queries > 0 && now-s.queriedAt < queryInterval || s.Synced() && s.Age(now) < s.share(queryShare) {
		return nil
	}
	s.queriedAt = now
	s.queries++
	if s.queries == 1 && !s.Synced() {
		return s.querySeeds(now)
	}
	var recent, sameDomain, all []*peer
	for _, name := range s.names(precedence) {
		p := s.peers[name]
		if p == nil {
			continue
		}
		all = append(all, p)
		if p.alive(now) {
			recent = append(recent, p)
		}
		if p.vm.Domain == s.self.Domain {
			sameDomain = append(sameDomain, p)
		}
	}
	all = append(all, s.seeds...)
	offset := s.queries + int(sparrank.Hash(s.self.Name)>>33)
	var outs []Output
	for _, peers := range [][]*peer{recent, sameDomain, all} {
		if len(peers) > 0 {
			outs = append(outs, s.query(peers[offset%len(peers)].vm, now))
		}
	}
	return outs
}
