package sparadmit_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
)

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
		upstreams []*server
		vms       []*vm
		kinds     []kind
		batch     int      // requests that arrive at the same time
		results   []result // by kind
	}

	// kind is the requests of one route.
	kind struct {
		priority  int
		perSecond float64 // at all VMs
		work      time.Duration
		objective time.Duration
		long      bool // on flows that are open already
	}

	// result counts the requests of one kind.
	result struct {
		requests, inTime, refusals, turnedAway int
		refusedRetries, retries                int
	}

	// server is an upstream.
	server struct {
		slow    float64 // factor of the work
		busy    int
		waiting []*request
	}

	vm struct {
		share   float64 // of the callers
		limiter *sparadmit.Limiter
		times   []*sparadmit.Times // by kind
		open    []int              // own requests under way, by upstream

		tries, refusals int
	}

	request struct {
		kind   int
		client uint32
		began  time.Duration
		tries  int
		vm     *vm
		sent   time.Duration
		at     int
	}
)

// newPool returns a pool of upstreams with two slots each.
func newPool(vms, upstreams int, kinds ...kind) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(1, 2)), due: map[time.Duration][]func(){}, kinds: kinds, batch: 1, results: make([]result, len(kinds))}
	for range upstreams {
		p.upstreams = append(p.upstreams, &server{slow: 1})
	}
	for range vms {
		p.addVM()
	}
	return p
}

func (p *pool) addVM() *vm {
	v := &vm{share: 1, limiter: sparadmit.New(), open: make([]int, len(p.upstreams))}
	for _, k := range p.kinds {
		v.times = append(v.times, sparadmit.NewTimes(k.objective))
	}
	p.vms = append(p.vms, v)
	for _, v := range p.vms {
		v.limiter.SetPool(slots*len(p.upstreams), len(p.vms))
	}
	return v
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
				p.results[i].requests++
				p.try(&request{kind: i, client: p.rng.Uint32(), began: p.now})
			}
		}
		for _, v := range p.vms {
			v.limiter.Advance(p.now)
		}
	}
}

func (p *pool) poisson(mean float64) (n int) {
	for limit, product := math.Exp(-mean), p.rng.Float64(); product > limit; n++ {
		product *= p.rng.Float64()
	}
	return n
}

// pickVM draws a VM by its share of the callers.
func (p *pool) pickVM() *vm {
	total := 0.0
	for _, v := range p.vms {
		total += v.share
	}
	draw := p.rng.Float64() * total
	for _, v := range p.vms {
		if draw -= v.share; draw < 0 {
			return v
		}
	}
	return p.vms[0]
}

// try opens a flow for a request at some VM.
func (p *pool) try(r *request) {
	k, res := p.kinds[r.kind], &p.results[r.kind]
	r.tries++
	if r.vm == nil || !k.long {
		r.vm = p.pickVM()
	}
	r.vm.tries++
	if r.tries > 1 {
		res.retries++
	}
	if !k.long && !r.vm.limiter.Admit(p.now, sparadmit.Opening{Client: r.client, Priority: k.priority}) {
		res.refusals++
		r.vm.refusals++
		if r.tries > 1 {
			res.refusedRetries++
		}
		p.again(r)
		return
	}
	p.send(r)
}

// again lets the caller retry.
func (p *pool) again(r *request) {
	if r.tries < maxTries {
		p.after(retryWait, func() { p.try(r) })
	}
}

// send sends a request to the upstream with the fewest requests of the VM.
func (p *pool) send(r *request) {
	r.vm.limiter.Opened(path)
	r.vm.limiter.Request(p.now)
	first := p.rng.IntN(len(p.upstreams))
	r.at = first
	for i := range p.upstreams {
		if at := (first + i) % len(p.upstreams); r.vm.open[at] < r.vm.open[r.at] {
			r.at = at
		}
	}
	r.vm.open[r.at]++
	r.sent = p.now
	u := p.upstreams[r.at]
	switch {
	case u.busy < slots:
		p.serve(u, r)
	case len(u.waiting) < queueMax:
		u.waiting = append(u.waiting, r)
	default:
		p.after(path, func() {
			p.respond(r)
			p.results[r.kind].turnedAway++
			p.again(r)
		})
	}
}

func (p *pool) serve(u *server, r *request) {
	u.busy++
	work := float64(p.kinds[r.kind].work) * u.slow * math.Exp(0.47*p.rng.NormFloat64()-0.11)
	p.after(time.Duration(work), func() {
		u.busy--
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			p.serve(u, next)
		}
		p.after(path, func() {
			p.respond(r)
			if p.now-r.began <= p.kinds[r.kind].objective {
				p.results[r.kind].inTime++
			}
		})
	})
}

func (p *pool) respond(r *request) {
	r.vm.open[r.at]--
	r.vm.limiter.Response(p.now, r.vm.times[r.kind], p.now-r.sent)
}

// takeResults returns the counts since the last call.
func (p *pool) takeResults() []result {
	results := p.results
	p.results = make([]result, len(p.kinds))
	return results
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
