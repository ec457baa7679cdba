package sparprobe

import (
	"cmp"
	"slices"
	"time"
)

// Outcomes.
const (
	Undecided Kind = iota // the round ended without a verdict
	Gone                  // no VM reaches the upstream
	Confirmed             // a further round found the same
	Back                  // the verdict has ended: the upstream was reached, has shown a sign of life, or no round confirmed it
)

type (
	// Kind is the kind of an outcome.
	Kind uint8

	// Outcome is the end of a round or of a verdict.
	Outcome struct {
		Kind
		Upstream
		Asked, Silent, Alive int           // VMs; none at the end of a verdict
		Reached              bool          // by this VM itself
		Tried                bool          // this VM knows whether it reaches the upstream
		Age                  time.Duration // since the round began; at the end of a verdict, since its round did
		Until                time.Duration // of Gone and Confirmed
	}
)

// String returns the kind as written in logs.
func (k Kind) String() string { return [...]string{"undecided", "gone", "confirmed", "back"}[k] }

// Evaluate returns the rounds and verdicts that have ended, in the order of the upstreams.
func (a *Asker) Evaluate(now time.Duration, c *Connections, look Look) (list []Outcome) {
	for mark, r := range a.rounds {
		if o, ended := a.judge(r, now, c, look); ended {
			delete(a.rounds, mark)
			list = append(list, a.decide(r, o, now))
		}
	}
	for mark, v := range a.gone {
		u, ok := look(mark)
		if !ok || v.refuted || now >= v.until || u.aliveSince(v.since) {
			delete(a.gone, mark)
			list = append(list, Outcome{Kind: Back, Upstream: v.upstream, Age: now - v.since})
		}
	}
	for mark, began := range a.began {
		if now-began >= roundInterval {
			delete(a.began, mark)
		}
	}
	slices.SortFunc(list, func(a, b Outcome) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Kind, b.Kind)) })
	return list
}

// aliveSince reports whether u has shown a sign of life since then: it answered a client of this VM, or its
// entry has changed.
func (u Upstream) aliveSince(since time.Duration) bool {
	return u.Answered > since || u.Changed > since
}

// judge returns what a round has found, once it has ended: all VMs asked have answered and this VM
// has tried itself, or it is RoundTime old, or somebody reaches the upstream.
func (a *Asker) judge(r *round, now time.Duration, c *Connections, look Look) (o Outcome, ended bool) {
	mark := r.upstream.Mark()
	o = Outcome{Upstream: r.upstream, Asked: len(r.asked), Age: now - r.began}
	near := a.count(r, &o)
	if reached, known := c.Result(now, mark); known {
		r.reached, r.tried = reached, true
	}
	o.Reached, o.Tried = r.reached, r.tried
	u, known := look(mark)
	if !known || u.Draining || u.aliveSince(r.since) || o.Reached || o.Alive > 0 {
		return o, true
	}
	if now-r.began < RoundTime && (o.Silent < o.Asked || !o.Tried) {
		return o, false
	}
	if o.Tried && a.enough(o, near) {
		o.Kind = Gone
	}
	return o, true
}

// count counts what the VMs say in o. near is the number of those that find the upstream silent and are in its
// failure domain.
func (a *Asker) count(r *round, o *Outcome) (near int) {
	for name, silent := range r.said {
		if !silent {
			o.Alive++
			continue
		}
		o.Silent++
		if a.domains[name] == r.upstream.Domain {
			near++
		}
	}
	return near
}

// enough reports whether enough VMs find an upstream silent, none of which reaches it: leastWitnesses, half of
// those asked, and one in its failure domain, since a cut between domains leaves it reachable there. That one may
// be this VM where the domain has no other.
func (a *Asker) enough(o Outcome, near int) bool {
	asksNear := slices.ContainsFunc(a.pick(o.Domain), func(vm VM) bool { return vm.Domain == o.Domain })
	witnessed := near > 0 || !asksNear && a.self.Domain == o.Domain
	return witnessed && o.Silent >= min(leastWitnesses, max(a.listed, 1)) && 2*o.Silent >= o.Asked
}

// decide puts the outcome of a round in force.
func (a *Asker) decide(r *round, o Outcome, now time.Duration) Outcome {
	mark := r.upstream.Mark()
	_, before := a.gone[mark]
	switch {
	case o.Kind == Gone:
		o.Until = now + goneTime
		a.gone[mark] = verdict{upstream: o.Upstream, since: now - o.Age, until: o.Until, round: r}
		if before {
			o.Kind = Confirmed
		}
	case before && (o.Alive > 0 || o.Reached):
		delete(a.gone, mark)
		o.Kind = Back
	}
	return o
}

// GoneCount returns the number of upstreams that are gone.
func (a *Asker) GoneCount() int { return len(a.gone) }
