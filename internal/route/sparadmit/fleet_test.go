package sparadmit_test

import (
	"fmt"
	"math"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

const (
	service     = "service"
	tickEvery   = 50 * time.Millisecond
	reportEvery = time.Second
	anyDomain   = -1
)

type (
	// server is an upstream.
	server struct {
		domain  int
		slow    float64 // factor of the work
		gone    bool    // takes no flows
		silent  bool    // answers nothing
		busy    int
		waiting []*request
	}

	vm struct {
		name        string
		domain      int
		share       float64 // of the callers
		lost        bool
		delay       time.Duration // of packets at its link
		pausedUntil time.Duration
		limiter     *sparadmit.Limiter
		times       []*sparadmit.Times // by kind
		open        []int              // own requests under way, by upstream
		board       *sparevidence.Board
		observedAt  time.Duration
		busy        time.Duration // sum of the times of the requests under way since then
		cut         bool          // from the VMs that are not
		distortion  float64       // of the load that it reports

		tries, refusals int
	}
)

func (p *pool) addVM() *vm {
	n := len(p.vms)
	v := &vm{name: fmt.Sprint("vm-", n), domain: n % p.domains, share: 1, distortion: 1}
	p.vms = append(p.vms, v)
	p.restart(v)
	p.setPool()
	return v
}

// restart gives a VM the state of one that has just started.
func (p *pool) restart(v *vm) {
	v.limiter, v.times, v.open = sparadmit.New(), nil, make([]int, len(p.upstreams))
	for _, k := range p.kinds {
		v.times = append(v.times, sparadmit.NewTimes(k.objective))
	}
	v.board = sparevidence.New(v.name, uint32(p.now/time.Millisecond)+1)
	p.setPool()
}

// setPool tells all VMs the settings: the VMs, and the upstreams that take flows.
func (p *pool) setPool() {
	var list []sparevidence.VM
	for _, v := range p.vms {
		list = append(list, sparevidence.VM{Name: v.name, Domain: fmt.Sprint(v.domain)})
	}
	for _, v := range p.vms {
		v.board.SetVMs(list)
		v.board.SetUpstreams([]sparevidence.Upstream{{ID: 1, Service: service}})
		v.limiter.SetPool(p.slots(), len(p.vms))
	}
}

// slots returns the slots of the upstreams that take flows.
func (p *pool) slots() (n int) {
	for _, u := range p.upstreams {
		if !u.gone {
			n += slots
		}
	}
	return n
}

// tick does the periodic work of a VM.
func (v *vm) tick(p *pool) {
	if v.lost || p.now < v.pausedUntil {
		return
	}
	v.limiter.Advance(p.now)
	v.busy += time.Duration(v.pending()) * time.Millisecond
	if p.reports && p.now%tickEvery == 0 {
		v.report(p)
	}
}

// pending returns the requests of a VM that are under way.
func (v *vm) pending() (n int) {
	for _, open := range v.open {
		n += open
	}
	return n
}

// report tells other VMs the load and takes in theirs.
func (v *vm) report(p *pool) {
	if elapsed := p.now - v.observedAt; elapsed >= reportEvery {
		mean := v.busy.Seconds() / elapsed.Seconds()
		v.board.SetPressed(2*mean*float64(len(p.vms)) >= float64(p.slots()))
		v.observedAt, v.busy = p.now, 0
		load := map[string]int{fmt.Sprint(v.domain): int(v.distortion * float64(v.pending()))}
		v.board.Observe(p.now, sparevidence.Observations{Services: []sparevidence.ServiceObservation{{Service: service, Load: load}}})
	}
	if report, due := v.board.Compose(p.now); due {
		for _, name := range v.board.Peers(true) {
			p.deliver(v, name, report)
		}
	}
	if !v.board.Pressed() {
		return
	}
	if l := v.board.Load(service, p.now); l.Whole {
		v.limiter.SetView(p.now, sparadmit.View{Pending: l.Requests, Slots: p.slots(), VMs: l.VMs, Age: l.Oldest})
	}
}

// deliver delivers a report, unless a cut or the end of the receiver loses it.
func (p *pool) deliver(from *vm, to string, r sparevidence.Report) {
	for _, v := range p.vms {
		if v.name == to && v.cut == from.cut && !v.lost && p.now >= v.pausedUntil {
			_ = v.board.Receive(p.now, r) // one that is refused counts as lost
		}
	}
}

// pickVM draws a VM of a failure domain by its share of the callers; of any if that has none.
func (p *pool) pickVM(domain int) *vm {
	total := 0.0
	for _, v := range p.vms {
		total += v.shareOf(domain)
	}
	if total == 0 {
		return p.pickVM(anyDomain)
	}
	draw := p.rng.Float64() * total
	for _, v := range p.vms {
		if draw -= v.shareOf(domain); draw < 0 {
			return v
		}
	}
	return p.vms[0]
}

// shareOf returns the share of a VM of the callers of a failure domain.
func (v *vm) shareOf(domain int) float64 {
	if v.lost || domain != anyDomain && domain != v.domain {
		return 0
	}
	return v.share
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

func (p *pool) serve(u *server, r *request) {
	u.busy++
	work := float64(p.kinds[r.kind].work) * u.slow * math.Exp(0.47*p.rng.NormFloat64()-0.11)
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
