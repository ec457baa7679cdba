package sparroute

import (
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

const (
	// Drop discards the packet. Its sender retransmits it.
	Drop Action = iota
	// ToUpstream rewrites the destination to At.
	ToUpstream
	// ToClient rewrites the source to At.
	ToClient
	// ToPeer redirects the packet to the VM called Peer.
	ToPeer
	// Hold keeps the packet until a Release for Key.
	Hold
	// Refuse answers with RST the first packet of a flow, which no upstream has received.
	// No request of the flow has run.
	Refuse
	// Abort answers with RST a packet whose upstream has been removed. The outcome of the
	// request is unknown.
	Abort
	// AbortClient replaces a packet from a removed upstream by RST to its client.
	AbortClient
)

const (
	// Data is a packet without SYN, FIN or RST. Every UDP packet is Data.
	Data Kind = iota
	// SYN opens a flow: SYN without ACK.
	SYN
	// SYNACK accepts a flow: SYN with ACK.
	SYNACK
	// FIN closes one half of a flow.
	FIN
	// RST aborts a flow.
	RST
)

// Causes of a Drop or Refuse.
const (
	NoCause         Cause = iota
	UnknownAddress        // no service at the destination
	UnknownUpstream       // no service at the source
	NoOwner               // no member in the view
	TooManyHops           // VMs disagree about the owner
	HeldFull              // too many packets held
	NotSettled            // an override is needed while the view is not settled
	OtherUpstream         // a response from an upstream that does not have the flow
	NoUpstream            // every upstream is draining or removed
	Undecided             // not owned here, no VM to redirect to and no record of the flow
	WaitingStandby        // a packet of a flow whose standbys have not acknowledged it
	causes
)

type (
	// Action is what to do with a packet.
	Action uint8
	// Kind is the kind of a packet by its TCP flags.
	Kind uint8
	// Cause is why a packet was not forwarded.
	Cause uint8

	// Segment is the part of a packet that the decision depends on.
	Segment struct {
		From  sparflow.Endpoint
		To    sparflow.Endpoint
		Proto sparflow.Proto
		Kind  Kind
		Hops  uint8
	}

	// Verdict is the decision on one packet. It is a plain struct, so that the packet
	// path does not allocate.
	Verdict struct {
		Action Action
		Cause  Cause
		At     sparflow.Endpoint
		Key    sparflow.Key
		Peer   string
		Keep   bool // keep a copy until a Release for Key
	}

	// Effect is something that the caller of the engine has to do: Release or Event.
	Effect interface {
		effect()
	}

	// Release asks to pass the packet held for Key to Forward again.
	Release struct {
		Key sparflow.Key
	}

	// Event is an entry for the timeline of the VM.
	Event struct {
		Kind    string
		Service string
		Subject string
		Count   int
	}

	// Stats counts decisions since the start.
	Stats struct {
		Openings   uint64
		Overrides  uint64
		Redirects  uint64
		Refused    uint64
		Aborted    uint64
		Unrecorded uint64 // packets of flows without a record, at the owner
		Searches   uint64 // searches for the upstream of a flow
		Retries    uint64 // SYNs retried at another upstream
		Drops      [causes]uint64
	}
)

func (Release) effect() {}
func (Event) effect()   {}

var causeNames = [causes]string{
	"none", "unknown-address", "unknown-upstream", "no-owner", "too-many-hops", "held-full",
	"not-settled", "loser", "no-upstream", "undecided", "waiting-standby",
}

// String returns the cause as a metric label.
func (c Cause) String() string { return causeNames[c] }

// Causes returns every cause of a drop.
func Causes() []Cause {
	list := make([]Cause, 0, causes-1)
	for c := NoCause + 1; c < causes; c++ {
		list = append(list, c)
	}
	return list
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats { return e.stats }

func (e *Engine) drop(cause Cause) Verdict {
	e.stats.Drops[cause]++
	return Verdict{Action: Drop, Cause: cause}
}

func (e *Engine) refuse(cause Cause) Verdict {
	e.stats.Refused++
	return Verdict{Action: Refuse, Cause: cause}
}

func (e *Engine) abort() Verdict {
	e.stats.Aborted++
	return Verdict{Action: Abort}
}

func (e *Engine) redirect(peer string) Verdict {
	e.stats.Redirects++
	return Verdict{Action: ToPeer, Peer: peer}
}
