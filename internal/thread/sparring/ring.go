// Package sparring connects goroutines by bounded queues, called rings.
//
// Each goroutine does one task: it takes items from one ring and puts results into the
// next. A full ring refuses items, so that overload is counted where it occurs and does
// not use up memory:
//
//	r := sparring.New[int](64)
//	if !r.Put(1) {
//		// full: count a drop
//	}
//	n := <-r.Out()
package sparring

import "sync/atomic"

// Ring is a bounded queue between goroutines. Use New.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring for size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Put adds an item. It returns false, without waiting, if the ring is full.
func (r *Ring[T]) Put(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Out returns the channel from which to take the items.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Refused returns the number of items refused because the ring was full.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
