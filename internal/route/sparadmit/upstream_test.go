package sparadmit_test

import (
	"math"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
)

const (
	// workSpread is the standard deviation of the logarithm of a request's work, and workMean its mean,
	// with which the mean work is that of its kind.
	workSpread = 0.47
	workMean   = -0.11
)

// upstream works on requests in its slots.
type upstream struct {
	domain  int
	slow    float64 // factor of the work
	gone    bool    // takes no flows
	silent  bool    // answers nothing
	busy    int
	waiting []*request
}

// send sends a request to an upstream.
func (p *pool) send(r *request) {
	v := r.vm
	opened := path + v.delay
	p.after(opened, func() { v.limiter.Opened(opened) })
	r.vm.limiter.Request(p.now)
	r.at = p.place(r)
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
			p.count(r, func(res *result) { res.turnedAway++ })
			p.again(r)
		})
	}
}

// place returns the upstream with the fewest requests of the VM: one of its failure domain, or of
// all if that is full.
func (p *pool) place(r *request) (at int) {
	v, k := r.vm, p.kinds[r.kind]
	all := !k.bound && (v.limiter.Delayed() || p.domainFull(v))
	first := p.rng.IntN(len(p.upstreams))
	at = -1
	for i := range p.upstreams {
		n := (first + i) % len(p.upstreams)
		u := p.upstreams[n]
		if u.gone || !all && u.domain != v.domain {
			continue
		}
		if at < 0 || !k.bound && v.open[n] < v.open[at] {
			at = n
		}
	}
	if at < 0 { // none is left in the failure domain
		for at = first; p.upstreams[at].gone; at = p.rng.IntN(len(p.upstreams)) {
		}
	}
	return at
}

// domainFull reports whether the slots of the VM's failure domain seem to be taken, if its other VMs
// have as many requests under way.
func (p *pool) domainFull(v *vm) bool {
	own, free, vms := 0, 0, 0
	for i, u := range p.upstreams {
		if u.domain == v.domain && !u.gone {
			own += v.open[i]
			free += slots
		}
	}
	for _, other := range p.vms {
		if other.domain == v.domain {
			vms++
		}
	}
	return 4*own*vms >= 3*free
}

func (p *pool) serve(u *upstream, r *request) {
	u.busy++
	work := float64(p.kinds[r.kind].work) * u.slow * math.Exp(workSpread*p.rng.NormFloat64()+workMean)
	p.after(time.Duration(work), func() {
		u.busy--
		if u.silent {
			return
		}
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			p.serve(u, next)
		}
		p.after(path, func() {
			p.respond(r)
			if p.now-r.began <= p.kinds[r.kind].objective {
				p.count(r, func(res *result) { res.inTime++ })
			}
		})
	})
}

// respond delivers a response. It passes the VM, or another one if that is lost.
func (p *pool) respond(r *request) {
	v := r.vm
	if wait := v.pausedUntil - p.now; wait > 0 {
		p.after(wait, func() { p.respond(r) })
		return
	}
	if v.delay > 0 {
		p.after(v.delay, func() { p.observe(r) })
		return
	}
	p.observe(r)
}

// observe lets the VM of a request see its response.
func (p *pool) observe(r *request) {
	v := r.vm
	v.open[r.at] = max(v.open[r.at]-1, 0) // 0 after a restart
	if !v.lost {
		v.limiter.Response(p.now, sparadmit.Answer{Route: v.times[r.kind], Waited: p.now - r.sent, Placed: r.placed})
	}
}
