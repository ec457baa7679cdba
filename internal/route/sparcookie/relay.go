package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// unresponsiveFlows is the number of flows with unanswered retransmissions, beside an
// unanswered SYN, from which on every request to an upstream is also sent through
// another VM.
const unresponsiveFlows = 2

// deadSilence is how long a removed upstream has shown no sign of life when the first packet of a request goes
// through other VMs too: several times leastOverdue.
const deadSilence = 2 * time.Second

// relay is another VM, which may reach an upstream that this VM cannot reach.
type relay struct {
	rankID uint64 // hash of the name, for rendezvous hashing
	domain string
	data   sparflow.Endpoint
}

// pickRelays returns the addresses of the VMs through which the packet is also sent, or 0. It
// is for requests without a response: their upstream may have failed, or only the path
// from this VM to it. The flow is not reset, since the upstream may serve other clients.
func (e *Engine) pickRelays(f *flow, s *Segment, obs *observation) (via, second sparflow.Endpoint) {
	u := f.upstream
	startsAtDead := obs.requested && e.probablyDead(u)
	repeats := obs.retransmitted && u.lastResponse <= f.requestedAt
	if s.Size == 0 || !startsAtDead && !repeats && !e.unresponsive(u) {
		return 0, 0
	}
	via = e.nextRelay(f, s.From)
	if via == 0 || !startsAtDead {
		return via, 0
	}
	if second = e.nextRelay(f, s.From); second == via { // there is only one other VM
		f.relayCopies--
		return via, 0
	}
	return via, second
}

// nextRelay returns the address of the VM whose turn it is to send a copy of a packet of f, or 0: those of the
// failure domain of the upstream first, then the others, each in an order that depends on the client.
func (e *Engine) nextRelay(f *flow, client sparflow.Endpoint) sparflow.Endpoint {
	if len(e.relays) == 0 {
		return 0
	}
	near, far := e.relaysBy(f.upstream.Domain)
	candidates, n := near, f.relayCopies%len(e.relays)
	if n >= len(near) {
		candidates, n = far, n-len(near)
	}
	ids := make([]uint64, len(candidates))
	for i, r := range candidates {
		ids[i] = r.rankID
	}
	f.relayCopies++
	return candidates[sparrank.Order(int(uint32(client)), ids)[n]].data
}

// relaysBy returns the other VMs of a failure domain, and those of other domains.
func (e *Engine) relaysBy(domain string) (near, far []relay) {
	for _, r := range e.relays {
		if r.domain == domain {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	return near, far
}

// unresponsive reports whether u is probably unreachable from this VM: it has not answered
// a SYN, which load does not delay, and several flows have unanswered retransmissions.
func (e *Engine) unresponsive(u *upstream) bool {
	return u.unansweredFlows >= unresponsiveFlows && u.syn.unansweredSince > 0 && e.now-u.syn.unansweredSince >= minRetransmitAge
}

// probablyDead reports whether u is no longer in the roster, has left a request without a response, and
// has shown no sign of life for deadSilence. Then the first packet of a request goes through other VMs too, so
// that relaysBeforeReset of them have sent it before its first retransmission.
func (e *Engine) probablyDead(u *upstream) bool {
	return u.removed && !u.Draining && u.copiesSinceAlive > 0 && e.now-u.aliveAt >= deadSilence
}

// forwardRelayed returns the verdict on a packet received from another VM. The packet does
// not update flow records, since the other VM sees the responses to it.
func (e *Engine) forwardRelayed(s Segment) Verdict {
	u := e.cookies[s.Cookie]
	if u == nil || s.Kind == SYN {
		return e.drop(UnknownCookie)
	}
	return e.send(Relayed, u)
}

// applyVMs replaces the VMs through which packets may be sent.
func (e *Engine) applyVMs(vms []sparconfig.VM) {
	e.domainVMs, e.relays = 0, nil
	for _, vm := range vms {
		if vm.Domain == e.domain {
			e.domainVMs++
		}
		at, err := sparflow.ParseEndpoint(vm.Data)
		if err != nil || vm.Name == e.name {
			continue // an entry without an address cannot be used
		}
		e.relays = append(e.relays, relay{rankID: sparrank.Hash(vm.Name), domain: vm.Domain, data: at})
	}
}
