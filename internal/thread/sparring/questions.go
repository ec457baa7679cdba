package sparring

import (
	"context"

	"github.com/juju/errors"
)

// Questions are put to the thread that owns a state of type S. It takes them from Out
// and calls each with the state. Use NewQuestions.
type Questions[S any] struct {
	ring *Ring[func(S)]
}

// NewQuestions returns room for size questions at a time.
func NewQuestions[S any](size int) *Questions[S] {
	return &Questions[S]{ring: New[func(S)](size)}
}

// Out returns the end to take questions from.
func (q *Questions[S]) Out() <-chan func(S) { return q.ring.Out() }

// Refused returns the number of questions that found no room.
func (q *Questions[S]) Refused() uint64 { return q.ring.Refused() }

// Ask puts a question and waits for the reply.
func Ask[S, T any](ctx context.Context, q *Questions[S], query func(S) T) (reply T, err error) {
	replies := make(chan T, 1)
	if !q.ring.Put(func(s S) { replies <- query(s) }) {
		return reply, errors.New("too many questions at once")
	}
	select {
	case reply = <-replies:
		return reply, nil
	case <-ctx.Done():
		return reply, errors.Trace(ctx.Err())
	}
}
