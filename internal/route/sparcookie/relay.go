package sparcookie

import (
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// muteStrikes is the number of flows that repeat in vain, beside an unanswered opening,
// from which on every request to an upstream goes through another VM as well.
const muteStrikes = 2

// helper is a VM that may reach an upstream which this one does not reach.
type helper struct {
	name   uint64 // rank
	domain string
	data   sparflow.Endpoint
}

// helper returns the VM to send a packet through as well, or 0. That is for requests
// that nothing answers: their upstream may be lost, or only the path to it from here. A
// flow is not ended for it, since the upstream may serve others. Each repeat takes the
// next VM, those of the failure domain of the upstream first.
func (e *Engine) helper(f *flow, s Segment, seen sight) sparflow.Endpoint {
	u := f.upstream
	if s.Size == 0 || !e.mute(u) && !(seen.repeated && u.heard <= f.asked) {
		return 0
	}
	var near, all []helper
	for _, h := range e.helpers {
		if h.domain == u.Domain {
			near = append(near, h)
		}
		all = append(all, h)
	}
	if len(near) == 0 || f.helped >= len(near) {
		near = all
	}
	if len(near) == 0 {
		return 0
	}
	names := make([]uint64, len(near))
	for i, h := range near {
		names[i] = h.name
	}
	order := sparrank.Order(int(uint32(s.From)), names)
	chosen := near[order[f.helped%len(order)]]
	f.helped++
	return chosen.data
}

// mute reports whether an upstream is likely out of reach from here: it has left an
// opening unanswered, which no load delays, and several flows repeat in vain.
func (e *Engine) mute(u *upstream) bool {
	return u.strikes >= muteStrikes && u.pending > 0 && e.now-u.pending >= copyAfter
}

// relayed decides on a packet that another VM has sent here. It is no evidence: the
// answers to it are seen at the other VM.
func (e *Engine) relayed(s Segment) Verdict {
	u := e.cookies[s.Cookie]
	if u == nil || s.Kind == Opening {
		return e.drop(UnknownCookie)
	}
	return e.send(Relayed, u)
}

// applyHelpers takes the VMs that may help.
func (e *Engine) applyHelpers(vms []sparconfig.VM) {
	e.siblings, e.helpers = 0, nil
	for _, vm := range vms {
		if vm.Domain == e.domain {
			e.siblings++
		}
		at, err := sparflow.ParseEndpoint(vm.Data)
		if err != nil || vm.Name == e.name {
			continue // an entry that names no address helps nobody
		}
		e.helpers = append(e.helpers, helper{name: sparrank.Name(vm.Name), domain: vm.Domain, data: at})
	}
}
