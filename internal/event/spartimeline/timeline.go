// Package spartimeline records the events of a VM in an order that is consistent across
// VMs.
//
// Events are stamped by a hybrid logical clock: physical milliseconds and a counter, moved
// forward by every stamp received from another VM. An event that caused another has the
// smaller stamp, even if the clocks of the VMs differ:
//
//	var clock spartimeline.Clock
//	clock.Observe(stampFromPeer)
//	stamp := clock.Next(time.Now())
//
// A Ring keeps the latest events of one VM; Merge orders the events of several.
package spartimeline

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	counterBits = 16
	// DefaultSize is the number of events that a VM keeps.
	DefaultSize = 2048
)

type (
	// Stamp is a time of a hybrid logical clock: Unix milliseconds << 16 | counter.
	Stamp uint64

	// Clock is a hybrid logical clock. The zero Clock is ready.
	Clock struct {
		last Stamp
	}

	// Event is one entry of a timeline.
	Event struct {
		At      Stamp
		VM      string
		Kind    string
		Service string
		Subject string
		Count   int
	}

	// Ring is a ring buffer of the latest events. Use NewRing.
	Ring struct {
		events []Event
		next   int
		full   bool
	}
)

// Next returns a stamp above all earlier ones. wall is the time of the VM's own clock.
func (c *Clock) Next(wall time.Time) Stamp {
	c.last = max(c.last+1, At(wall))
	return c.last
}

// Observe moves the clock forward to a stamp received from another VM, so that later
// stamps are above it.
func (c *Clock) Observe(s Stamp) {
	c.last = max(c.last, s)
}

// Last returns the highest stamp returned or observed.
func (c *Clock) Last() Stamp { return c.last }

// At returns the lowest stamp of the millisecond of t.
func At(t time.Time) Stamp {
	return Stamp(max(t.UnixMilli(), 0)) << counterBits
}

// Time returns the physical part of s.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits)).UTC()
}

// String returns the time with milliseconds and the counter.
func (s Stamp) String() string {
	return fmt.Sprintf("%s+%d", s.Time().Format("2006-01-02T15:04:05.000Z"), s&(1<<counterBits-1))
}

// NewRing returns a ring for size events.
func NewRing(size int) *Ring {
	return &Ring{events: make([]Event, size)}
}

// Add records an event, which replaces the oldest one if the ring is full.
func (r *Ring) Add(e Event) {
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.full = r.full || r.next == 0
}

// Since returns the events stamped at or after from, oldest first.
func (r *Ring) Since(from Stamp) []Event {
	all := r.events[:r.next]
	if r.full {
		all = append(slices.Clone(r.events[r.next:]), all...)
	}
	kept := []Event{}
	for _, e := range all {
		if e.At >= from {
			kept = append(kept, e)
		}
	}
	return kept
}

// Merge orders the events of several VMs by stamp, then VM.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.VM, b.VM))
	})
	return merged
}
