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

// deadSilence is how long an upstream that was removed has to have been silent until the first packet of
// a request goes through other VMs: several times the age at which a request is overdue.
const deadSilence = 2 * time.Second

// relay is another VM, which may reach an upstream that this VM cannot reach.
type relay struct {
	rankID uint64 // hash of the name, for rendezvous hashing
	domain string
	data   sparflow.Endpoint
}

// pickRelay returns the address of the VM through which the packet is also sent, or 0. It
// is for requests without a response: their upstream may have failed, or only the path
// from this VM to it. The flow is not reset, since the upstream may serve other clients.
// Each retransmission takes the next VM, those of the failure domain of the upstream first.
func (e *Engine) pickRelay(f *flow, s Segment, obs observation) sparflow.Endpoint {
	u := f.upstream
	if s.Size == 0 || !e.unresponsive(u) && !(obs.retransmitted && u.lastResponse <= f.requestedAt) && !(obs.requested && e.probablyDead(u)) {
		return 0
	}
	var candidates, all []relay
	for _, r := range e.relays {
		if r.domain == u.Domain {
			candidates = append(candidates, r)
		}
		all = append(all, r)
	}
	if len(candidates) == 0 || f.relayCopies >= len(candidates) {
		candidates = all
	}
	if len(candidates) == 0 {
		return 0
	}
	ids := make([]uint64, len(candidates))
	for i, r := range candidates {
		ids[i] = r.rankID
	}
	order := sparrank.Order(int(uint32(s.From)), ids)
	chosen := candidates[order[f.relayCopies%len(order)]]
	f.relayCopies++
	return chosen.data
}

// unresponsive reports whether u is probably unreachable from this VM: it has not answered
// a SYN, which load does not delay, and several flows have unanswered retransmissions.
func (e *Engine) unresponsive(u *upstream) bool {
	return u.unansweredFlows >= unresponsiveFlows && u.syn.unansweredSince > 0 && e.now-u.syn.unansweredSince >= minRetransmitAge
}

// probablyDead reports whether u is no longer in the roster, has left a request without a response and
// shown no sign of life here for longer than a slow upstream takes to answer. Then the first packet of a request goes through other VMs
// too, so that relaysBeforeReset of them have sent it before its first retransmission.
func (e *Engine) probablyDead(u *upstream) bool {
	return u.removed && !u.Draining && u.copiesSinceAlive > 0 && e.now-u.aliveAt >= deadSilence
}

// pickSecondRelay returns another VM than first through which the packet is also sent, or 0.
func (e *Engine) pickSecondRelay(f *flow, s Segment, obs observation, first sparflow.Endpoint) sparflow.Endpoint {
	second := e.pickRelay(f, s, obs)
	if second == first {
		f.relayCopies--
		return 0
	}
	return second
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
