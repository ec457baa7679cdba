package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	// Drop discards the packet; its sender sends it again or gives up.
	Drop Action = iota
	// ToUpstream sends the packet to At, addressed to ID.
	ToUpstream
	// Reset ends the flow towards its caller.
	Reset
)

const (
	// Data is a packet within a flow.
	Data Kind = iota
	// Opening is a SYN.
	Opening
	// Finishing is a FIN.
	Finishing
	// Resetting is a RST.
	Resetting
)

// Causes of a verdict.
const (
	Carried       Cause = iota // a packet of an open flow
	Placed                     // an opening, at the best upstream
	Repeated                   // an opening again, its upstream answers others
	Moved                      // an opening again, away from a silent upstream
	NoRoute                    // no route at the address
	RouteDropped               // the route was taken away while the flow was open
	NoUpstream                 // no upstream takes openings
	UnknownCookie              // the cookie names no upstream known here
	WrongService               // the cookie names an upstream that the route never listed
	UpstreamGone               // the upstream has left and does not answer
	Assisted                   // a packet of an open flow, sent through another VM as well
	Relayed                    // a packet that another VM has sent here
	NotFresh                   // the settings are too old to refuse by
	causes
)

type (
	// Action is what to do with a packet.
	Action uint8
	// Kind is what a packet means to its flow.
	Kind uint8
	// Cause says why.
	Cause uint8

	// Segment is the part of a caller's packet that a decision needs.
	Segment struct {
		From   sparflow.Endpoint // the caller
		To     sparflow.Endpoint // the address that it connected to
		Kind   Kind
		Seq    uint32
		Ack    uint32 // of an opening: how often it was sent before
		Size   int    // bytes of data
		Cookie Cookie

		Relayed bool // another VM has sent it here
	}

	// Verdict is the decision on one packet. It is a plain struct, so that the
	// busiest path allocates nothing.
	Verdict struct {
		Action Action
		Cause  Cause
		ID     uint64
		At     sparflow.Endpoint
		Cookie Cookie
		Helper sparflow.Endpoint // with Assisted, the VM to send a copy through
		Silent time.Duration     // since the upstream last answered anyone seen here

		Answered   bool          // the packet acknowledges an answer
		First      bool          // the one to the opening
		Unanswered bool          // the packet repeats data that nothing has answered
		Lost       bool          // the caller gives up a request that nothing has answered
		Waited     time.Duration // since the request or opening was first seen
	}

	// Event is a change of what this VM believes. It is a sealed interface:
	// UpstreamListed, UpstreamLeft or UpstreamJudged.
	Event interface {
		event()
	}

	// UpstreamListed says that an upstream joined or changed in the roster.
	UpstreamListed struct {
		Upstream sparroster.Upstream
	}

	// UpstreamLeft says that an upstream is not in the roster any more.
	UpstreamLeft struct {
		Upstream sparroster.Upstream
	}

	// UpstreamJudged says what flows show about an upstream.
	UpstreamJudged struct {
		Upstream sparroster.Upstream
		State    string
		Silent   time.Duration // since it last answered anyone
	}

	// Stats counts since the start.
	Stats struct {
		Verdicts [causes]uint64
		Lost     uint64 // requests that callers gave up unanswered
	}
)

func (UpstreamListed) event() {}
func (UpstreamLeft) event()   {}
func (UpstreamJudged) event() {}

var causeNames = [causes]string{
	"carried", "placed", "repeated", "moved", "no-route", "route-dropped", "no-upstream", "unknown-cookie",
	"wrong-service", "upstream-gone", "assisted", "relayed", "not-fresh",
}

// String returns the cause as it stands in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

// Causes returns every cause.
func Causes() []Cause {
	list := make([]Cause, causes)
	for c := range list {
		list[c] = Cause(c)
	}
	return list
}

// String returns the action as it stands in logs.
func (a Action) String() string { return [...]string{"drop", "forward", "reset"}[a] }

// Stats returns the counts so far.
func (e *Engine) Stats() Stats { return e.stats }

// Events returns and clears the changes of belief.
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
		v.ID, v.At, v.Silent = u.ID, u.At, e.now-u.heard
	}
	return e.verdict(v)
}

func (e *Engine) send(cause Cause, u *upstream) Verdict {
	return e.verdict(Verdict{
		Action: ToUpstream, Cause: cause, ID: u.ID, At: u.At, Cookie: u.cookie, Silent: e.now - u.heard,
	})
}
