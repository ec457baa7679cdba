package sparadmit_test

import (
	"fmt"
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

// vm is a VM that admits flows and reports its load.
type vm struct {
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
