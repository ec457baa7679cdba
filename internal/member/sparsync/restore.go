package sparsync

import "time"

// silentBeats is the number of missed heartbeats after which the platform removes the entry of
// an upstream. A restore brings back those of upstreams that are gone.
const silentBeats = 3

// Restored is called when a later era of the platform is first seen: it was restored from an
// older copy, and its writers have yet to write again what is lost.
func (s *Sync) Restored(now time.Duration) { s.recoveredAt, s.restoredAt = now, now }

// Doubting reports whether the platform was restored so recently that it may still show
// entries of writers that are gone, or values that their writers have replaced.
func (s *Sync) Doubting(now time.Duration) bool {
	return s.restoredAt > 0 && now-s.restoredAt < s.doubtTime()
}

// doubtTime is the time for heartbeats to be missed and for a read that shows it.
func (s *Sync) doubtTime() time.Duration {
	return max(settleTime, silentBeats*s.beat+s.share(readShare))
}
