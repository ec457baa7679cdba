package sparnode_test

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
)

// upstreamReceive acts as the kernel of an upstream that receives a packet.
func (l *lab) upstreamReceive(f *labFlow, at sparflow.Endpoint, s sparroute.Segment) {
	u := l.upstreams[at]
	if u.service != l.services[s.To] {
		l.misrouted++
	}
	back := sparroute.Segment{From: at, To: s.From, Proto: s.Proto, Kind: sparroute.Data}
	switch {
	case s.Kind == sparroute.SYN && u.unresponsive:
		return
	case s.Kind == sparroute.SYN && u.refusing:
		back.Kind = sparroute.RST
	case s.Kind == sparroute.SYN:
		if !u.conns[f] {
			u.opened = append(u.opened, l.now)
		}
		u.conns[f] = true
		back.Kind = sparroute.SYNACK
	case !u.conns[f] && s.Kind == sparroute.FIN && f.upstream == at:
		back.Kind = sparroute.FIN // the kernel answers a retransmitted FIN
	case !u.conns[f]:
		back.Kind = sparroute.RST
	case s.Kind == sparroute.RST:
		delete(u.conns, f)
		return
	case f.upstream != at: // half-open here, accepted by another upstream: the ACK does not match
		delete(u.conns, f)
		back.Kind = sparroute.RST
	case s.Kind == sparroute.FIN:
		delete(u.conns, f)
		back.Kind = sparroute.FIN
	}
	l.route(l.spray(), f, back)
}

// clientReceive acts as the kernel of a client that receives a packet.
func (l *lab) clientReceive(f *labFlow, s sparroute.Segment) {
	switch s.Kind {
	case sparroute.SYNACK:
		if !f.open {
			f.open, f.upstream = true, s.From
		}
	case sparroute.RST:
		if f.open {
			f.broken = "reset"
		} else {
			f.refused = true
		}
	case sparroute.FIN:
		f.open = false
	default:
		f.noteResponse(s.From)
	}
}

// noteResponse notes a response from an upstream.
func (f *labFlow) noteResponse(from sparflow.Endpoint) {
	if f.upstream == from {
		f.refused = false
		f.upstream |= respondedBit
	}
}

const respondedBit sparflow.Endpoint = 1 << 60

// sendData sends one data packet and reports whether a response arrived.
func (l *lab) sendData(f *labFlow) bool {
	f.upstream &^= respondedBit
	l.route(l.spray(), f, sparroute.Segment{From: f.tuple.Client, To: f.tuple.Service, Proto: f.tuple.Proto})
	ok := f.upstream&respondedBit != 0
	f.upstream &^= respondedBit
	return ok
}

func (l *lab) sendSYN(f *labFlow) {
	l.route(l.spray(), f, sparroute.Segment{From: f.tuple.Client, To: f.tuple.Service, Proto: f.tuple.Proto, Kind: sparroute.SYN})
}

// end sends FIN. The flow is closed once the upstream has answered with its own.
func (l *lab) end(f *labFlow) {
	f.ending = true
	l.route(l.spray(), f, sparroute.Segment{From: f.tuple.Client, To: f.tuple.Service, Proto: f.tuple.Proto, Kind: sparroute.FIN})
}

// open opens n flows to a service and retransmits each SYN until it is answered.
func (l *lab) open(service string, n, first int) []*labFlow {
	var at sparflow.Endpoint
	for e, name := range l.services {
		if name == service {
			at = e
		}
	}
	flows := make([]*labFlow, n)
	for i := range flows {
		from := client(first + i)
		flows[i] = &labFlow{service: service, tuple: sparflow.Tuple{Client: from, Service: at, Proto: sparflow.TCP}}
		l.sendSYN(flows[i])
		if i%500 == 499 {
			l.run(sparnode.TickEvery)
		}
	}
	for range maxTries {
		l.run(200 * time.Millisecond)
		for _, f := range flows {
			if !f.open && !f.refused {
				l.sendSYN(f)
			}
		}
	}
	for _, f := range flows {
		if !f.open && !f.refused {
			l.t.Fatalf("flow %s never opened", f.tuple.Client)
		}
	}
	return flows
}

// broken sends data on every flow, retransmitted until a response arrives. It returns the
// number of flows that were reset, aborted or left without a response.
func (l *lab) broken(flows []*labFlow) int {
	waiting := flows
	for range maxTries {
		var unanswered []*labFlow
		for _, f := range waiting {
			if f.open && !f.ending && f.broken == "" && !l.sendData(f) && f.broken == "" {
				unanswered = append(unanswered, f)
			}
		}
		if waiting = unanswered; len(unanswered) == 0 {
			break
		}
		l.run(300 * time.Millisecond)
	}
	n := 0
	for _, f := range waiting {
		f.broken = "silent"
	}
	for _, f := range flows {
		if f.broken != "" {
			n++
		}
	}
	return n
}
