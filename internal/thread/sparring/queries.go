package sparring

import (
	"context"

	"github.com/juju/errors"
)

// Queries is a queue of queries to the goroutine that owns a state of type S. That
// goroutine takes them from Out and calls each with the state. Use NewQueries.
type Queries[S any] struct {
	ring *Ring[func(S)]
}

// NewQueries returns a queue for size queries.
func NewQueries[S any](size int) *Queries[S] {
	return &Queries[S]{ring: New[func(S)](size)}
}

// Out returns the channel from which to take the queries.
func (q *Queries[S]) Out() <-chan func(S) { return q.ring.Out() }

// Refused returns the number of queries refused because the queue was full.
func (q *Queries[S]) Refused() uint64 { return q.ring.Refused() }

// Query queues a query and waits for its reply. It returns an error if the queue is full or
// ctx is done first.
func Query[S, T any](ctx context.Context, q *Queries[S], query func(S) T) (reply T, err error) {
	replies := make(chan T, 1)
	if !q.ring.Put(func(s S) { replies <- query(s) }) {
		return reply, errors.New("query queue is full")
	}
	select {
	case reply = <-replies:
		return reply, nil
	case <-ctx.Done():
		return reply, errors.Trace(ctx.Err())
	}
}
