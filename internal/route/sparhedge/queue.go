package sparhedge

import "time"

type (
	// Queue holds openings in the order in which they began. It has a fixed number of slots, so
	// that its user can keep more about each opening beside it.
	Queue[K any] struct {
		slots []entry[K]
		first int // slot of the oldest
		count int
	}

	entry[K any] struct {
		key   K
		began time.Duration
	}

	// Item is an opening taken off a queue.
	Item[K any] struct {
		Slot  int
		Key   K
		Began time.Duration
	}
)

// NewQueue returns a queue with a number of slots.
func NewQueue[K any](slots int) *Queue[K] { return &Queue[K]{slots: make([]entry[K], slots)} }

// Len returns the number of openings in q.
func (q *Queue[K]) Len() int { return q.count }

// Add adds an opening that begins now, and returns its slot, which it has until Next takes it off.
// ok is false if q is full.
func (q *Queue[K]) Add(key K, now time.Duration) (slot int, ok bool) {
	if q.count == len(q.slots) {
		return 0, false
	}
	slot = (q.first + q.count) % len(q.slots)
	q.slots[slot] = entry[K]{key, now}
	q.count++
	return slot, true
}

// Oldest returns when the oldest opening began. ok is false if q is empty.
func (q *Queue[K]) Oldest() (began time.Duration, ok bool) {
	if q.count == 0 {
		return 0, false
	}
	return q.slots[q.first].began, true
}

// Next takes off the oldest opening if it began at the time before or earlier.
func (q *Queue[K]) Next(before time.Duration) (item Item[K], ok bool) {
	if began, some := q.Oldest(); !some || began > before {
		return Item[K]{}, false
	}
	item = Item[K]{Slot: q.first, Key: q.slots[q.first].key, Began: q.slots[q.first].began}
	q.first = (q.first + 1) % len(q.slots)
	q.count--
	return item, true
}
