package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	// Drop discards the packet. Its sender retransmits it or gives up.
	Drop Action = iota
	// ToUpstream sends the packet to At, addressed to ID.
	ToUpstream
	// Reset sends a RST to the client.
	Reset
)

const (
	// Data is a packet without SYN, FIN or RST.
	Data Kind = iota
	// SYN opens a flow.
	SYN
	// FIN closes one half of a flow.
	FIN
	// RST aborts a flow.
	RST
)

// Causes of a verdict.
const (
	Carried       Cause = iota // a packet of an open flow
	Placed                     // a SYN, sent to the best upstream
	Repeated                   // a retransmitted SYN, sent to the same upstream
	Moved                      // a retransmitted SYN, moved from an upstream that does not respond
	NoRoute                    // no route for the address
	RouteDropped               // the route was removed while the flow was open
	NoUpstream                 // no upstream takes new flows
	UnknownCookie              // the cookie belongs to no upstream known to this VM
	WrongService               // the cookie belongs to an upstream of a service that the route never named
	UpstreamGone               // the upstream is gone or replaced, or was removed and does not respond
	Assisted                   // a packet of an open flow, also sent through another VM
	Relayed                    // a packet received from another VM
	NotFresh                   // the settings are too old to refuse a flow
	Hedged                     // a SYN without an answer, also sent to a second upstream
	WarmLimit                  // only upstreams whose openings are limited are left, and this VM may send them none now
	Overloaded                 // the service is overloaded; less urgent flows are refused first
	Stale                      // a SYN that may have waited during a pause of this VM
	causeCount
)

type (
	// Action is what to do with a packet.
	Action uint8
	// Kind is the kind of a TCP packet, by its flags.
	Kind uint8
	// Cause is the reason of a verdict.
	Cause uint8

	// Segment is the part of a client's packet that a verdict depends on.
	Segment struct {
		From   sparflow.Endpoint // the client
		To     sparflow.Endpoint // the address that the client connected to
		Kind   Kind
		Seq    uint32
		Ack    uint32 // in a SYN: the number of earlier transmissions
		Size   int    // bytes of data
		Cookie Cookie

		Relayed bool // received from another VM
	}

	// Verdict is the decision on one packet. It is a plain struct, so that the hot
	// path does not allocate.
	Verdict struct {
		Action Action
		Cause  Cause
		ID     uint64
		At     sparflow.Endpoint
		Cookie Cookie
		Relay  sparflow.Endpoint // with Assisted, the VM to send a copy to
		Second sparflow.Endpoint // with Assisted, another such VM, or 0
		Silent time.Duration     // since the last response of the upstream to any client of this VM

		Answered   bool          // the packet acknowledges a response
		First      bool          // the response is the SYN-ACK
		Unanswered bool          // the packet retransmits data of an unanswered request
		Abandoned  bool          // the client abandons an unanswered request
		Waited     time.Duration // since the first packet of the request, or the first SYN
		Awaits     int           // 1 more than the slot in which its SYN waits for an answer, or 0
	}

	// Event is a change of an upstream. It is a sealed interface: UpstreamUpdated,
	// UpstreamUnusable, UpstreamRemoved, HealthChanged, WarmHolder, OverloadChanged or
	// DomainChanged.
	Event interface {
		event()
	}

	// UpstreamUpdated reports an upstream that is new or back in the roster, has
	// restarted, or has begun or stopped draining.
	UpstreamUpdated struct {
		Upstream sparroster.Upstream
	}

	// UpstreamUnusable reports an upstream whose entry can't be used any more. It takes no new
	// flows.
	UpstreamUnusable struct {
		Upstream sparroster.Upstream
	}

	// UpstreamRemoved reports an upstream that was removed from the roster.
	UpstreamRemoved struct {
		Upstream sparroster.Upstream
	}

	// HealthChanged reports a change in the health of an upstream.
	HealthChanged struct {
		Upstream sparroster.Upstream
		State    string
		Silent   time.Duration // since its last response to any client of this VM
	}

	// DomainChanged reports that a failure domain is suspect as a whole, or no longer.
	DomainChanged struct {
		Domain    string
		Suspect   bool
		Upstreams int           // that take new flows; at the end, those that answered again
		Silent    time.Duration // since the last response of the domain; at the end, since it was suspect
	}

	// Stats holds counts since the start.
	Stats struct {
		Verdicts  [causeCount]uint64
		Abandoned uint64 // requests that clients gave up unanswered
		Suspected uint64 // times that a failure domain was suspect as a whole

		GoneResets uint64 // flows reset at once since their upstream is gone, or was replaced and removed

		WarmOpenings uint64 // sent to upstreams whose openings are limited
		WarmRefusals uint64 // openings refused, or copies dropped, because of the limits
	}
)

func (UpstreamUpdated) event()  {}
func (UpstreamUnusable) event() {}
func (UpstreamRemoved) event()  {}
func (HealthChanged) event()    {}
func (DomainChanged) event()    {}

var causeNames = [causeCount]string{
	"carried", "placed", "repeated", "moved", "no-route", "route-dropped", "no-upstream", "unknown-cookie",
	"wrong-service", "upstream-gone", "assisted", "relayed", "not-fresh", "hedged", "warm-limit", "overloaded", "stale",
}

// String returns the cause as written in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Causes returns every cause.
func Causes() []Cause {
	list := make([]Cause, causeCount)
	for c := range list {
		list[c] = Cause(c)
	}
	return list
}

// String returns the action as written in logs.
func (a Action) String() string { return [...]string{"drop", "forward", "reset"}[a] }

// Stats returns the counts so far.
func (e *Engine) Stats() Stats { return e.stats }

// Events returns the events since the last call.
func (e *Engine) Events() []Event {
	events := e.events
	e.events = nil
	return events
}

func (e *Engine) emit(event Event) { e.events = append(e.events, event) }

func (e *Engine) verdict(v Verdict) Verdict {
	e.stats.Verdicts[v.Cause]++
	return v
}

func (e *Engine) drop(cause Cause) Verdict { return e.verdict(Verdict{Action: Drop, Cause: cause}) }

func (e *Engine) reset(cause Cause, u *upstream) Verdict {
	v := Verdict{Action: Reset, Cause: cause}
	if u != nil {
		v.ID, v.At, v.Silent = u.ID, u.At, e.now-u.lastResponse
	}
	return e.verdict(v)
}

func (e *Engine) send(cause Cause, u *upstream) Verdict {
	return e.verdict(Verdict{
		Action: ToUpstream, Cause: cause, ID: u.ID, At: u.At, Cookie: u.cookie, Silent: e.now - u.lastResponse,
	})
}
