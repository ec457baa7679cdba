// Package sparstream delivers messages between two VMs in order and once, over datagrams
// that may be lost, duplicated or delayed.
//
// The traffic must stay within a few kilobytes per second, which twirp can't do; a frame
// adds about 20 bytes to its body. A Stream is one end of the connection:
//
//	s := sparstream.New[string](1, now)
//	s.Queue("hello")
//	for _, frame := range s.Due(now) {
//		// send frame; the other end passes it to Receive and replies with frames of its own
//	}
//
// Each frame acknowledges the frames received in the other direction. A stream belongs
// to one pair of incarnations of the two VMs; frames of another pair are ignored.
package sparstream

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Resend is the retransmission timeout of an unacknowledged frame.
	Resend = 150 * time.Millisecond
	// Window is the largest number of frames sent without an acknowledgement.
	Window = 64
)

type (
	// Frame is one datagram of a stream. Seq is 0 in an acknowledgement without a body.
	Frame[T any] struct {
		Pair uint32 // hash of the incarnations of sender and receiver
		Seq  uint64
		Ack  uint64
		Body T
	}

	// Stream is one end of a connection between two VMs. Use New.
	Stream[T any] struct {
		peer     uint64
		out, in  uint32 // pair hashes of the two directions
		queue    []queued[T]
		next     uint64 // sequence number of the next message queued
		acked    uint64
		received uint64 // last sequence number received in order
		ackDue   bool
	}

	queued[T any] struct {
		seq    uint64
		body   T
		sent   bool
		sentAt time.Duration
	}
)

// New returns a stream between the incarnations self and peer.
func New[T any](self, peer uint64) *Stream[T] {
	return &Stream[T]{peer: peer, out: pair(self, peer), in: pair(peer, self), next: 1}
}

// Peer returns the incarnation of the VM at the other end.
func (s *Stream[T]) Peer() uint64 { return s.peer }

// Queue appends a message to be sent and returns its sequence number.
func (s *Stream[T]) Queue(body T) (seq uint64) {
	seq = s.next
	s.next++
	s.queue = append(s.queue, queued[T]{seq: seq, body: body})
	return seq
}

// Acked returns the highest sequence number that the other end has acknowledged.
func (s *Stream[T]) Acked() uint64 { return s.acked }

// Pending returns the number of messages not yet acknowledged.
func (s *Stream[T]) Pending() int { return len(s.queue) }

// Due returns the frames to send at time now: new ones, those whose retransmission
// timeout has passed, or else an acknowledgement if one is outstanding.
func (s *Stream[T]) Due(now time.Duration) []Frame[T] {
	var frames []Frame[T]
	for i := range s.queue[:min(len(s.queue), Window)] {
		q := &s.queue[i]
		if q.sent && now-q.sentAt < Resend {
			continue
		}
		q.sent, q.sentAt = true, now
		frames = append(frames, Frame[T]{Pair: s.out, Seq: q.seq, Ack: s.received, Body: q.body})
	}
	if len(frames) == 0 && s.ackDue {
		frames = append(frames, Frame[T]{Pair: s.out, Ack: s.received})
	}
	s.ackDue = false
	return frames
}

// Receive processes a received frame. It returns the body, and true, if the frame is the next
// in order. It drops others; the other end resends those not yet acknowledged.
func (s *Stream[T]) Receive(f Frame[T]) (body T, ok bool) {
	if f.Pair != s.in {
		return body, false
	}
	s.acknowledge(f.Ack)
	if f.Seq == 0 {
		return body, false
	}
	s.ackDue = true
	if f.Seq != s.received+1 {
		return body, false
	}
	s.received = f.Seq
	return f.Body, true
}

// pair returns a 32-bit hash that identifies one direction between two incarnations.
func pair(from, to uint64) uint32 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], from)
	binary.LittleEndian.PutUint64(b[8:], to)
	return uint32(xxhash.Sum64(b[:]))
}

func (s *Stream[T]) acknowledge(ack uint64) {
	if ack <= s.acked || ack >= s.next {
		return
	}
	s.acked = ack
	for len(s.queue) > 0 && s.queue[0].seq <= ack {
		s.queue = s.queue[1:]
	}
}
