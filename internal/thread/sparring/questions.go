package sparring

import (
	"context"

	"github.com/juju/errors"
)

// Questions is a queue of queries to the goroutine that owns a state of type S. That
// goroutine takes them from Out and calls each with the state. Use NewQuestions.
type Questions[S any] struct {
	ring *Ring[func(S)]
}

// NewQuestions returns a queue for size queries.
func NewQuestions[S any](size int) *Questions[S] {
	return &Questions[S]{ring: New[func(S)](size)}
}

// Out returns the channel from which to take the queries.
func (q *Questions[S]) Out() <-chan func(S) { return q.ring.Out() }

// Refused returns the number of queries refused because the queue was full.
func (q *Questions[S]) Refused() uint64 { return q.ring.Refused() }

// Ask queues a query and waits for its reply. It returns an error if the queue is full or
// ctx is done first.
func Ask[S, T any](ctx context.Context, q *Questions[S], query func(S) T) (reply T, err error) {
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
