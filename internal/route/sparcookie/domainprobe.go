package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

// domainProbeInterval is the time after an unanswered probe of a suspect domain until the next one for
// the same service. Each of them delays a client.
const domainProbeInterval = time.Second

// domainProbe is a SYN that probes a suspect failure domain for a service.
type domainProbe struct {
	upstream *upstream
	at       time.Duration
}

// probeDue reports whether a SYN of a service may probe d: d is suspect, and its last probe for the service was
// answered or is domainProbeInterval ago. The first one waits for that long after d became suspect.
func (d *domainState) probeDue(service string, now time.Duration) bool {
	if d.suspectSince == 0 {
		return false
	}
	last, ok := d.probes[service]
	if !ok {
		return now-d.suspectSince >= domainProbeInterval
	}
	return !last.upstream.unproven() || now-last.at >= domainProbeInterval
}

// pickProbe returns an upstream among those of a service to probe a suspect failure domain, or nil. A
// domain's upstreams take turns.
func (e *Engine) pickProbe(domains []*domainState, upstreams []*upstream) *upstream {
	if len(upstreams) == 0 {
		return nil
	}
	service := upstreams[0].Service
	for _, d := range domains {
		if !d.probeDue(service, e.now) {
			continue
		}
		if u := e.nextProbe(d, upstreams); u != nil {
			d.probes[service] = domainProbe{upstream: u, at: e.now}
			return u
		}
	}
	return nil
}

// probeOwn returns an upstream of the own failure domain for a probe, or nil. Copies of a SYN are
// not used for probes, since their client has waited already.
func (e *Engine) probeOwn(p *pool, exclude *upstream) *upstream {
	if exclude != nil || len(p.local) == 0 {
		return nil // without local upstreams, p.domains[0] is another domain
	}
	return e.pickProbe(p.domains[:1], p.local)
}

// probeOther returns an upstream of any failure domain for a probe, or nil.
func (e *Engine) probeOther(p *pool, exclude *upstream) *upstream {
	if exclude != nil {
		return nil
	}
	return e.pickProbe(p.domains, p.all)
}

// nextProbe returns the unproven upstream of d whose turn it is, or nil: the one whose last SYN
// since d became suspect is the oldest. Each VM has an order of its own, so that they don't all
// send their flows to the same upstream once it answers.
func (e *Engine) nextProbe(d *domainState, upstreams []*upstream) (next *upstream) {
	for _, u := range upstreams {
		if u.domain != d || !u.unproven() || !e.takesFlows(u) || e.gone(u) || e.outOfQuota(u) || e.leftToHolders(u) {
			continue
		}
		if next == nil || e.probedBefore(u, next) {
			next = u
		}
	}
	return next
}

// probedBefore reports whether it is the turn of a before that of b, of the same domain.
func (e *Engine) probedBefore(a, b *upstream) bool {
	turnA, turnB := max(a.syn.lastAt, a.domain.suspectSince), max(b.syn.lastAt, b.domain.suspectSince)
	if turnA != turnB {
		return turnA < turnB
	}
	return sparrank.Weight(e.probeSeed, a.ID) > sparrank.Weight(e.probeSeed, b.ID)
}
