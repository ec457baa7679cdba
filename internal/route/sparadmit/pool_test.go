package sparadmit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
)

// seed makes runs repeat.
const seed = 2

const (
	slots     = 2
	queueMax  = 8
	path      = 7 * time.Millisecond
	maxTries  = 3
	retryWait = 100 * time.Millisecond
)

type (
	// pool is one set of upstreams with a queue each, before which several VMs decide alone.
	pool struct {
		rng       *rand.Rand
		now       time.Duration
		due       map[time.Duration][]func()
		domains   int // failure domains
		upstreams []*upstream
		vms       []*vm
		kinds     []kind
		batch     int        // requests that arrive at the same time
		reports   bool       // VMs tell each other their load
		results   []result   // by kind
		byDomain  [][]result // of callers, then by kind
	}

	// kind is the requests of one route.
	kind struct {
		priority  int
		perSecond float64 // at all VMs
		work      time.Duration
		objective time.Duration
		long      bool // on flows that are open already
		bound     bool // of these: at upstreams of the VM's failure domain
	}

	// result counts the requests of one kind.
	result struct {
		requests, inTime, refusals, turnedAway int
		refusedRetries, retries                int
	}

	request struct {
		kind   int
		domain int // of the caller
		client uint32
		began  time.Duration
		tries  int
		vm     *vm
		sent   time.Duration
		placed time.Duration // 0 on an open flow
		at     int
	}
)

// newPool returns a pool of upstreams with two slots each, in one failure domain.
func newPool(vms, upstreams int, kinds ...kind) *pool { return newDomains(1, vms, upstreams, kinds...) }

// newDomains returns a pool with VMs and upstreams in several failure domains.
func newDomains(domains, vms, upstreams int, kinds ...kind) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(1, seed)), due: map[time.Duration][]func(){}, domains: domains, kinds: kinds, batch: 1}
	for i := range upstreams {
		p.upstreams = append(p.upstreams, &upstream{slow: 1, domain: i % domains})
	}
	for range vms {
		p.addVM()
	}
	p.takeResults()
	return p
}

func (p *pool) after(d time.Duration, do func()) {
	at := p.now + max(d, time.Millisecond).Round(time.Millisecond)
	p.due[at] = append(p.due[at], do)
}

// run runs the pool with a multiple of the demand of each kind.
func (p *pool) run(d time.Duration, factors ...float64) {
	for end := p.now + d; p.now < end; {
		p.now += time.Millisecond
		for _, do := range p.due[p.now] {
			do()
		}
		delete(p.due, p.now)
		for i, k := range p.kinds {
			for range p.batch * p.poisson(k.perSecond*factors[i%len(factors)]/1000/float64(p.batch)) {
				r := &request{kind: i, domain: p.pickVM(anyDomain).domain, client: p.rng.Uint32(), began: p.now}
				p.count(r, func(res *result) { res.requests++ })
				p.try(r)
			}
		}
		for _, v := range p.vms {
			v.tick(p)
		}
	}
}

// count changes the counts of a request's kind, and those of its kind in its failure domain.
func (p *pool) count(r *request, change func(*result)) {
	change(&p.results[r.kind])
	change(&p.byDomain[r.domain][r.kind])
}

func (p *pool) poisson(mean float64) (n int) {
	for limit, product := math.Exp(-mean), p.rng.Float64(); product > limit; n++ {
		product *= p.rng.Float64()
	}
	return n
}

// try opens a flow for a request at some VM, or sends it on an open one.
func (p *pool) try(r *request) {
	k := p.kinds[r.kind]
	if r.vm == nil || !k.long {
		r.vm = p.pickVM(r.domain)
	}
	if wait := r.vm.pausedUntil - p.now; wait > 0 {
		p.after(wait, func() { p.try(r) })
		return
	}
	r.tries++
	r.vm.tries++
	if r.tries > 1 {
		p.count(r, func(res *result) { res.retries++ })
	}
	switch {
	case k.long:
		p.send(r)
	case r.vm.limiter.Admit(p.now, sparadmit.Opening{Client: r.client, Priority: k.priority}):
		r.placed = p.now
		p.send(r)
	default:
		p.refuse(r)
	}
}

// refuse counts a refusal.
func (p *pool) refuse(r *request) {
	r.vm.refusals++
	p.count(r, func(res *result) {
		res.refusals++
		if r.tries > 1 {
			res.refusedRetries++
		}
	})
	p.again(r)
}

// again lets the caller retry.
func (p *pool) again(r *request) {
	if r.tries < maxTries {
		p.after(retryWait, func() { p.try(r) })
	}
}

// takeResults returns the counts since the last call.
func (p *pool) takeResults() []result {
	results := p.results
	p.results, p.byDomain = make([]result, len(p.kinds)), make([][]result, p.domains)
	for i := range p.byDomain {
		p.byDomain[i] = make([]result, len(p.kinds))
	}
	return results
}

// name names a kind of the callers of a failure domain.
func (p *pool) name(domain, kind int) string {
	return fmt.Sprintf("kind %d of failure domain %d", kind, domain)
}

// levels returns the shares of flows that the VMs refuse.
func (p *pool) levels() (levels []float64) {
	for _, v := range p.vms {
		levels = append(levels, v.limiter.State(p.now).Refused)
	}
	return levels
}

// inTimeShare returns the share of requests of a kind that were served within their objective.
func (r result) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.requests, 1)) }

// admittedShare returns the share of tries that were admitted.
func (r result) admittedShare() float64 {
	return 1 - float64(r.refusals)/float64(max(r.requests+r.retries, 1))
}

// turnedAwayShare returns the share of tries that full upstreams turned away.
func (r result) turnedAwayShare() float64 {
	return float64(r.turnedAway) / float64(max(r.requests+r.retries, 1))
}

func wantAtLeast(t *testing.T, what string, got, least float64) {
	t.Helper()
	if got < least {
		t.Errorf("%s: %.3f, want at least %.3f", what, got, least)
	}
}

func wantAtMost(t *testing.T, what string, got, most float64) {
	t.Helper()
	if got > most {
		t.Errorf("%s: %.3f, want at most %.3f", what, got, most)
	}
}
