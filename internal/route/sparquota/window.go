// Package sparquota limits the openings that an upstream gets from all VMs in any second.
//
// Few VMs, the holders, may send openings to an upstream, each its part of the limit. A VM
// derives from its settings alone whether it is one of them, see docs/design/warmup.md:
//
//	lease := sparquota.NewLease("vm-1", 2*time.Second) // settings are fresh up to that age
//	lease.List(now, members, entry)                    // each time the settings change
//	lease.Renew(now, age)                              // each time their age is known
//	if lease.Active(now) {
//		part := sparquota.Part(limit, lease.Rank(upstreamID, upstreamDomain))
//		if window.Count(now) < part {
//			window.Add(now) // and send the opening
//		}
//	}
//
// Nothing here reads a clock.
package sparquota

import "time"

const (
	// span is the length of the window over which openings are counted.
	span = time.Second
	// maxCount is the largest number of openings that a window counts: more than a small VM sends
	// to one upstream.
	maxCount = 1024
	// firstSize is the room of a window at its first opening.
	firstSize = 8
)

// Window counts events within the last second, both ends included. The count is exact below
// maxCount. The zero Window is empty.
type Window struct {
	at    []time.Duration // ring
	first int             // index of the oldest event
	n     int
}

// Add counts an event at the time now, which must not decrease.
func (w *Window) Add(now time.Duration) {
	w.expire(now)
	if w.n == len(w.at) && w.n < maxCount {
		w.grow()
	}
	if w.n == maxCount {
		w.drop()
	}
	w.at[(w.first+w.n)%len(w.at)] = now
	w.n++
}

// Count returns the number of events within the last second.
func (w *Window) Count(now time.Duration) int {
	w.expire(now)
	return w.n
}

func (w *Window) expire(now time.Duration) {
	for w.n > 0 && now-w.at[w.first] > span {
		w.drop()
	}
}

func (w *Window) drop() {
	w.first = (w.first + 1) % len(w.at)
	w.n--
}

func (w *Window) grow() {
	next := make([]time.Duration, max(firstSize, 2*len(w.at)))
	for i := range w.n {
		next[i] = w.at[(w.first+i)%len(w.at)]
	}
	w.at, w.first = next, 0
}
