// Package sparprobe finds out whether an upstream that is silent at one VM is dead, by asking other
// VMs: indirect probes as in SWIM.
//
// An Asker begins a round about upstreams that left a request without a response. It connects to each of them
// itself and asks other VMs, whose Answerers do the same. Only if none of them reaches an upstream
// is it gone, for a while:
//
//	asker := sparprobe.NewAsker(self, 12)
//	asker.SetVMs(vms)
//	for _, q := range asker.Begin(now, suspects) {
//		send(q.To, q)
//	}
//	for _, u := range asker.Wanted(now, &connections) {
//		connect(u) // then connections.Done(now, u.Mark(), reached)
//	}
//	err := asker.Receive(now, answer)
//	for _, o := range asker.Evaluate(now, &connections, look) {
//		engine.SetGone(o.Upstream, o.Until)
//	}
//
// The package does no I/O and reads no clock.
package sparprobe

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// ConnectTimeout is how long a connection to an upstream may take.
	ConnectTimeout = 100 * time.Millisecond
	// RoundTime is the age of a round from which on answers don't count.
	RoundTime = 300 * time.Millisecond
	// roundInterval is the least time between the beginnings of two rounds about an upstream.
	roundInterval = 500 * time.Millisecond
	// goneTime is how long a verdict lasts, and renewBefore how long before its end a round
	// begins that may confirm it.
	goneTime    = 2 * time.Second
	renewBefore = 600 * time.Millisecond
	// MaxVMs bounds the VMs asked, and nearShare is the part of them that may be in the failure
	// domain of the upstream before others are asked.
	MaxVMs    = 16
	nearShare = 2.0 / 3
	// leastWitnesses is the number of VMs that have to find an upstream silent, if so many have been
	// listed: one may be sick, another cut off.
	leastWitnesses = 3
	// MaxMarks bounds the upstreams in a question, so that a datagram fits into a packet.
	MaxMarks = 64
	// MaxSilence bounds the silence that a question names.
	MaxSilence = time.Minute
)

// Causes for which an answer does not count.
const (
	UnknownVM Refusal = "unknown VM"
	NotAsked  Refusal = "not asked"
	Late      Refusal = "late"
)

type (
	// Refusal is why an answer does not count.
	Refusal string

	// VM is an entry VM.
	VM struct {
		Name, Domain string
	}

	// Upstream is an upstream as this VM knows it. Born tells apart two starts with one ID.
	Upstream struct {
		ID       uint64
		Born     int64
		Service  string
		Domain   string
		At       sparflow.Endpoint
		Draining bool          // it may stop listening before its flows have ended
		Flows    int           // open flows on record
		Answered time.Duration // last answer to a client of this VM
		Changed  time.Duration // last change of its entry, other than its removal
	}

	// Suspect is an upstream that has left a request without a response.
	Suspect struct {
		Upstream
		Since time.Duration // of the request
	}

	// Question asks a VM about upstreams.
	Question struct {
		From    string
		Run     uint32 // differs in each run of the asker
		Round   uint32
		Silence time.Duration // an answer to a client within it shows that an upstream lives
		Marks   []uint64
	}

	// Addressed is a question for one VM.
	Addressed struct {
		To string
		Question
	}

	// Answer says which upstreams a VM has found alive or silent. Those of which it knows
	// nothing are left out.
	Answer struct {
		From          string
		Run, Round    uint32 // of the question
		Alive, Silent []uint64
	}

	// Look returns what this VM knows of the upstream with a mark.
	Look func(mark uint64) (u Upstream, ok bool)
)

// Error implements error.
func (r Refusal) Error() string { return string(r) }

// Mark identifies one start of an upstream in messages.
func (u Upstream) Mark() uint64 { return sparrank.Weight(int(u.Born), u.ID) }
