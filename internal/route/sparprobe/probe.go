// Package sparprobe finds out whether an upstream that is silent at one VM is dead, by asking other
// VMs: indirect probes as in SWIM.
//
// An Asker begins a round about upstreams that left a request without a response. It connects to each of them
// itself and asks other VMs, whose Answerers do the same. An upstream is gone, for goneTime, if none of them
// reaches it. ask.go holds what a VM asks, answer.go what it answers, connections.go the connections for both,
// verdict.go what follows from a round; Example shows a round.
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
	// RoundTime is the longest time that a round lasts: ConnectTimeout at another VM and two messages, with
	// room for delays. Later answers don't count.
	RoundTime = 300 * time.Millisecond
	// roundInterval is the least time between the beginnings of two rounds about an upstream.
	roundInterval = 500 * time.Millisecond
	// goneTime is how long a verdict lasts.
	goneTime = 2 * time.Second
	// renewBefore is how long before the end of a verdict a round begins that may confirm it: more than a
	// RoundTime, so that there is no gap.
	renewBefore = 600 * time.Millisecond
	// MaxVMs bounds the VMs asked about an upstream.
	MaxVMs = 16
	// nearShare is the part of the VMs asked that are in the failure domain of the upstream, if there are
	// enough of both.
	nearShare = 2.0 / 3
	// leastWitnesses is the number of other VMs that have to find an upstream silent, if so many have been
	// listed: one may be sick, another cut off.
	leastWitnesses = 3
	// MaxMarks bounds the upstreams in a question, so that a datagram of 8 bytes each fits into a packet.
	MaxMarks = 64
	// MaxSilence bounds the silence that a question names. Verdicts may be renewed for longer.
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
