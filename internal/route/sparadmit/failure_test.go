package sparadmit_test

import (
	"testing"
	"time"
)

const (
	// overloaded is 1.2 times the slots of newSite and calm 60% of them, as multiples of the usual demand.
	overloaded = 11.8
	calm       = 5.9
	// leastShare is the share of flows that are always admitted, less a flow of each VM.
	leastShare = 0.045
)

// newOverload returns a site under an overload of all kinds.
func newOverload() *pool {
	p := newSite(true, lookups, orders)
	p.run(2*time.Second, calm)
	p.run(2*time.Second, overloaded)
	p.takeResults()
	return p
}

// wantServed runs an overload and checks what callers get: the urgent ones nearly all in time, the
// others their least share in each failure domain.
func (p *pool) wantServed(t *testing.T, d time.Duration, urgentInTime float64) {
	t.Helper()
	p.takeResults()
	p.run(d, overloaded)
	r := p.takeResults()
	wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), urgentInTime)
	wantAtLeast(t, "other requests in time", r[0].inTimeShare(), leastShare)
}

// wantRecovery checks that nothing is refused one second after the end of an overload.
func (p *pool) wantRecovery(t *testing.T) {
	t.Helper()
	left := calm * float64(p.slots()) / float64(slots*len(p.upstreams))
	p.run(time.Second, left)
	p.takeResults()
	p.run(3*time.Second, left)
	p.wantNoRefusals(t)
}

// TestVMsAreLost covers a third of the VMs that are lost at once. The settings still list them.
func TestVMsAreLost(t *testing.T) {
	p := newOverload()
	for _, v := range p.vms[:8] {
		v.lost = true
	}
	p.wantServed(t, 5*time.Second, 0.95)
	p.wantRecovery(t)
}

// TestVMsAreCutInHalves covers VMs that hear of one half of the others only: by failure domain, so that the
// reports say nothing of two of these, or in each of them.
func TestVMsAreCutInHalves(t *testing.T) {
	for name, half := range map[string]func(n int, v *vm) bool{
		"by domain":      func(_ int, v *vm) bool { return v.domain < 2 },
		"in each domain": func(n int, _ *vm) bool { return n < 12 },
	} {
		t.Run(name, func(t *testing.T) {
			p := newOverload()
			for n, v := range p.vms {
				v.cut = half(n, v)
			}
			p.wantServed(t, 5*time.Second, 0.95)
			p.wantRecovery(t)
		})
	}
}

// TestAbsurdReports covers a VM that reports no load at all, or a thousand times its load: under an
// overload, and while a third of the slots is free.
func TestAbsurdReports(t *testing.T) {
	for name, distortion := range map[string]float64{"zero": 0, "a thousand times": 1000} {
		t.Run(name, func(t *testing.T) {
			p := newOverload()
			p.vms[0].distortion = distortion
			p.wantServed(t, 5*time.Second, 0.95)
			p.wantRecovery(t)
			for _, u := range p.upstreams {
				u.slow = 3
			}
			p.takeResults()
			p.run(5*time.Second, calm/3)
			p.wantNoRefusals(t)
		})
	}
}

// TestDomainIsEvacuated covers a failure domain whose upstreams take no new flows any more while
// demand is at the slots, and one whose upstreams are gone with what they worked on.
func TestDomainIsEvacuated(t *testing.T) {
	for name, gone := range map[string]bool{"evacuated": false, "gone": true} {
		t.Run(name, func(t *testing.T) {
			p := newSite(true, lookups, orders)
			p.run(4*time.Second, overloaded*0.8)
			p.evacuate(3, gone)
			p.run(time.Second, overloaded) // 1.6 times the slots that are left
			p.wantServed(t, 5*time.Second, 0.95)
			p.wantRecovery(t)
		})
	}
}

// evacuate takes the upstreams of a failure domain out of the settings; gone loses their requests.
func (p *pool) evacuate(domain int, gone bool) {
	for _, u := range p.upstreams {
		if u.domain == domain {
			u.gone, u.silent = true, gone
			if gone {
				u.waiting = nil
			}
		}
	}
	p.setPool()
}

// TestVMsRestart covers VMs that restart one after the other during an overload.
func TestVMsRestart(t *testing.T) {
	p := newOverload()
	for _, v := range p.vms {
		p.restart(v)
		p.run(500*time.Millisecond, overloaded)
	}
	r := p.takeResults()
	wantAtLeast(t, "urgent requests in time while VMs restart", r[1].inTimeShare(), 0.9)
	p.wantServed(t, 2*time.Second, 0.95)
	p.wantRecovery(t)
}

// TestVMIsPaused covers the clock of a VM that stands still for two seconds, under an overload and
// without one. Packets wait for it.
func TestVMIsPaused(t *testing.T) {
	p := newOverload()
	p.vms[0].pausedUntil = p.now + 2*time.Second
	p.wantServed(t, 4*time.Second, 0.92) // a part of the callers of one of 24 VMs waits
	p.wantRecovery(t)
	p.vms[0].pausedUntil = p.now + 2*time.Second
	p.run(5*time.Second, calm)
	p.wantNoRefusals(t)
}

// TestNobodyStarves covers the callers of a failure domain with few of them, and those of the least
// urgent route, in a long overload.
func TestNobodyStarves(t *testing.T) {
	last := kind{priority: 5, perSecond: 30, work: 30 * time.Millisecond, objective: 400 * time.Millisecond}
	p := newSite(true, lookups, orders, last)
	for _, v := range p.vms {
		if v.domain == 3 {
			v.share = 0.25
		}
	}
	p.run(2*time.Second, overloaded)
	p.takeResults()
	p.run(20*time.Second, overloaded)
	for domain, kinds := range p.byDomain {
		for kind, r := range kinds {
			wantAtLeast(t, p.name(domain, kind)+" admitted", r.admittedShare(), leastShare)
		}
		wantAtLeast(t, p.name(domain, 1)+" in time", kinds[1].inTimeShare(), 0.95)
	}
	all, few := p.results[0].inTimeShare(), p.byDomain[3][0].inTimeShare()
	wantAtLeast(t, "requests in time of few callers as a part of those of all", few/all, 0.7)
}
