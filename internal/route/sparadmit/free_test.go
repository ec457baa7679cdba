package sparadmit_test

import (
	"testing"
	"time"
)

// sessions is requests on open flows, bound to upstreams of the callers' failure domain.
var sessions = kind{priority: later, perSecond: 1230, work: 30 * time.Millisecond, objective: 400 * time.Millisecond, long: true, bound: true}

// newSite returns a pool of 24 VMs before 120 slots in four failure domains, after a while of usual load.
func newSite(reports bool, kinds ...kind) *pool {
	p := newDomains(4, 24, 60, kinds...)
	p.reports = reports
	p.run(8*time.Second, 1)
	p.takeResults()
	return p
}

// wantNoRefusals checks that nothing was refused since the last results were taken.
func (p *pool) wantNoRefusals(t *testing.T) {
	t.Helper()
	for kind, r := range p.takeResults() {
		if r.refusals > 0 {
			t.Errorf("%d of %d requests of kind %d refused", r.refusals, r.requests, kind)
		}
	}
}

// TestBusyDomain covers open flows of one failure domain that exceed its slots, while half of the
// slots of the others are free. The VMs there have three times the callers of the others and see
// requests queue, but new flows find slots.
func TestBusyDomain(t *testing.T) {
	for name, change := range map[string]func(*pool){
		"no reports":    func(p *pool) { p.reports = false },
		"all reports":   func(p *pool) {},
		"some reports":  func(p *pool) { cutDomain(p, 1) },
		"stale reports": func(p *pool) { p.run(4*time.Second, 2, 1, 1); p.reports = false },
	} {
		t.Run(name, func(t *testing.T) {
			p := newSite(true, sessions, lookups, orders)
			for _, v := range p.vms {
				if v.domain == 0 {
					v.share = 3
				}
			}
			change(p)
			p.takeResults()
			p.run(10*time.Second, 2, 1, 1)
			p.wantNoRefusals(t)
		})
	}
}

// cutDomain cuts the VMs of a failure domain off from the others.
func cutDomain(p *pool, domain int) {
	for _, v := range p.vms {
		v.cut = v.domain == domain
	}
}

// TestBusyVM covers a VM with four times the mean of the callers at 60% of the slots.
func TestBusyVM(t *testing.T) {
	for name, reports := range map[string]bool{"no reports": false, "reports": true} {
		t.Run(name, func(t *testing.T) {
			p := newSite(reports, lookups, orders)
			p.vms[0].share = 4
			p.run(10*time.Second, 6)
			p.wantNoRefusals(t)
		})
	}
}

// TestBusyVMAtSlowService covers the same VM as the whole service becomes three times slower at a
// fifth of the slots. Reports have told the VM its part of the load, also if they end then.
func TestBusyVMAtSlowService(t *testing.T) {
	for name, reports := range map[string]bool{"reports end": false, "reports": true} {
		t.Run(name, func(t *testing.T) {
			p := newSite(true, lookups, orders)
			p.vms[0].share = 4
			p.run(10*time.Second, 6)
			p.reports = reports
			for _, u := range p.upstreams {
				u.slow = 3
			}
			p.takeResults()
			p.run(10*time.Second, 2)
			p.wantNoRefusals(t)
		})
	}
}

// TestBusyVMStarts covers a VM with four times the mean of the callers that starts at 80% of the slots.
func TestBusyVMStarts(t *testing.T) {
	p := newSite(false, lookups, orders)
	p.run(2*time.Second, 8)
	v := p.addVM()
	v.share = 4
	p.takeResults()
	p.run(5*time.Second, 8)
	p.wantNoRefusals(t)
}

// TestBusyLink covers VMs whose links delay all packets at 60% of the slots: SYN-ACKs tell that
// requests wait there, and not for slots.
func TestBusyLink(t *testing.T) {
	for name, delay := range map[string]time.Duration{"some": 60 * time.Millisecond, "much": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := newSite(false, lookups, orders)
			for _, v := range p.vms[:8] {
				v.share, v.delay = 3, delay
			}
			p.run(10*time.Second, 6)
			p.wantNoRefusals(t)
			service := p.vms[0].limiter.ServiceTime().Seconds() / lookups.work.Seconds()
			wantAtLeast(t, "time that a request occupies a slot, as a part of the true one", service, 0.7)
			wantAtMost(t, "time that a request occupies a slot, as a part of the true one", service, 1.5)
		})
	}
}
