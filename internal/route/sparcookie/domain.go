package sparcookie

import (
	"slices"
	"time"
)

const (
	// suspectUpstreams is the number of upstreams of a failure domain that have to leave
	// SYNs unanswered before the whole domain is suspect.
	suspectUpstreams = 3
	// recoveryLimit is how long a domain that answers again may wait for its other upstreams.
	recoveryLimit = 10 * time.Second
	// slowStartTime is how long an upstream of a suspect domain that answers again has slowStartShare of
	// its capacity: all VMs see it with no flows and would send it theirs at once.
	slowStartTime = time.Second
	// slowStartShare is a part of the capacity.
	slowStartShare = 0.25
)

// domainState is what this VM sees of a failure domain and its upstreams of all services.
type domainState struct {
	name         string
	usable       int                    // upstreams that take new flows
	lastResponse time.Duration          // of any upstream
	missedSYN    int                    // upstreams that left a SYN unanswered since lastResponse
	suspectSince time.Duration          // 0 while the domain is not suspect
	answered     int                    // upstreams that have answered since suspectSince
	probes       map[string]domainProbe // last ones since suspectSince, by service
}

// domainOf returns the state of a failure domain.
func (e *Engine) domainOf(name string) *domainState {
	d := e.domains[name]
	if d == nil {
		d = &domainState{name: name}
		e.domains[name] = d
	}
	return d
}

// addDomain adds a failure domain to those of the service; own is set for that of this VM.
func (p *pool) addDomain(d *domainState, own bool) {
	if slices.Contains(p.domains, d) {
		return
	}
	p.domains = append(p.domains, d)
	if last := len(p.domains) - 1; own {
		p.domains[0], p.domains[last] = p.domains[last], p.domains[0]
	}
}

// countUsable updates how many upstreams of each failure domain take new flows, and forgets
// domains without any upstream.
func (e *Engine) countUsable() {
	for _, d := range e.domains {
		d.usable = 0
	}
	known := map[*domainState]bool{}
	for _, u := range e.upstreams {
		known[u.domain] = true
		if e.takesFlows(u) {
			u.domain.usable++
		}
	}
	for name, d := range e.domains {
		if !known[d] {
			delete(e.domains, name)
		}
	}
}

// noteMissedSYN counts an upstream that leaves a SYN unanswered for its failure domain, once until the
// domain answers.
func (e *Engine) noteMissedSYN(o opening) {
	u, d := o.upstream, o.upstream.domain
	if d.lastResponse >= o.at || u.syn.missedAt > d.lastResponse {
		return
	}
	u.syn.missedAt = e.now
	d.missedSYN++
	if d.missedSYN >= suspectUpstreams && (d.suspectSince == 0 || d.answered > 0) {
		d.suspectSince, d.answered, d.probes = e.now, 0, map[string]domainProbe{}
		e.stats.Suspected++
		e.emit(DomainChanged{Domain: d.name, Suspect: true, Upstreams: d.usable, Silent: e.now - d.lastResponse})
	}
}

// noteDomainAnswer records a response of u for its failure domain. u.lastResponse is still that of
// the response before.
func (e *Engine) noteDomainAnswer(u *upstream) {
	d := u.domain
	if d.suspectSince > 0 && u.lastResponse <= d.suspectSince {
		d.answered++
		u.slowStartUntil = e.now + slowStartTime
		e.markBack(u)
	}
	d.lastResponse, d.missedSYN = e.now, 0
	if d.suspectSince > 0 && d.recovered(e.now) {
		e.emit(DomainChanged{Domain: d.name, Upstreams: d.answered, Silent: e.now - d.suspectSince})
		d.suspectSince, d.probes = 0, nil
	}
}

// recovered reports whether all upstreams of d have answered since it became suspect, or enough
// of them for a while. The others count as any single upstream that fails.
func (d *domainState) recovered(now time.Duration) bool {
	return d.answered >= d.usable || d.preferable() && now-d.suspectSince >= recoveryLimit
}

// preferable reports whether the upstreams of d that have answered suffice to prefer it.
func (d *domainState) preferable() bool {
	return d.suspectSince == 0 || 2*d.answered >= d.usable
}

// unproven reports whether u has not answered since its failure domain became suspect.
func (u *upstream) unproven() bool {
	return u.domain.suspectSince > 0 && u.lastResponse <= u.domain.suspectSince
}

// allSuspect reports whether each failure domain of a service is suspect and none has answered since. Then
// the fault may be at this VM.
func (p *pool) allSuspect() bool {
	for _, d := range p.domains {
		if d.usable > 0 && (d.suspectSince == 0 || d.answered > 0) {
			return false
		}
	}
	return true
}
