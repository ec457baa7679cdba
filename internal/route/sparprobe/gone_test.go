package sparprobe_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// secondRetransmission is the time between the first and the second retransmission of a request.
const secondRetransmission = 400 * time.Millisecond

// TestCrashedUpstreamsAreFoundGone lets 23 of 150 upstreams stop. Each VM finds one gone before the second
// retransmission.
func TestCrashedUpstreamsAreFoundGone(t *testing.T) {
	for _, vms := range []int{24, 96} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			f := newFleet(t, vms, 150)
			f.kill(func(u sparprobe.Upstream) bool { return u.ID <= 23 })
			for n, v := range f.vms {
				f.suspect(v, f.upstream(uint64(n%23)+1))
			}
			f.run(secondRetransmission)
			for n, v := range f.vms {
				expectGone(t, v, uint64(n%23)+1)
			}
		})
	}
}

// TestStoppedDomainIsFoundGone lets all upstreams of a failure domain stop, and the VMs in it too.
func TestStoppedDomainIsFoundGone(t *testing.T) {
	for name, vmsStop := range map[string]bool{"upstreams alone": false, "and one of its VMs": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 24, 30)
			f.kill(func(u sparprobe.Upstream) bool { return u.Domain == domain(0) })
			f.vms[0].stopped = vmsStop
			f.suspect(f.vms[1], f.upstream(1), f.upstream(4), f.upstream(28))
			f.run(secondRetransmission)
			expectGone(t, f.vms[1], 1, 4, 28)
		})
	}
}

// TestVerdictIsRenewed keeps an upstream gone for as long as it stays dead and has flows.
func TestVerdictIsRenewed(t *testing.T) {
	f := newFleet(t, 24, 3)
	f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
	f.suspect(f.vms[5], f.upstream(1))
	f.run(10 * time.Second)
	expectGone(t, f.vms[5], 1)
	for _, o := range f.vms[5].outcomes {
		if o.Kind == sparprobe.Back {
			t.Errorf("%+v", o)
		}
	}
}

// TestVerdictEnds ends a verdict on a sign of life.
func TestVerdictEnds(t *testing.T) {
	tests := map[string]func(f *fleet, v *vm, u sparprobe.Upstream){
		"it answers a client here": func(f *fleet, v *vm, u sparprobe.Upstream) { v.answered[u.Mark()] = f.now },
		"its entry changes":        func(f *fleet, v *vm, u sparprobe.Upstream) { v.changed[u.Mark()] = f.now },
		"restarted under its ID":   func(_ *fleet, v *vm, u sparprobe.Upstream) { v.unknown[u.Mark()] = true },
		"one VM reaches it again": func(f *fleet, _ *vm, _ sparprobe.Upstream) {
			f.reaches = func(v *vm, _ sparprobe.Upstream) bool { return v.Domain == domain(0) }
		},
	}
	for name, revive := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 24, 3)
			u := f.upstream(1)
			f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
			f.suspect(f.vms[5], u)
			f.run(secondRetransmission)
			expectGone(t, f.vms[5], 1)
			revive(f, f.vms[5], u)
			f.run(2 * time.Second)
			expectGone(t, f.vms[5])
		})
	}
}

// TestFewVMsAreAllAsked asks all others where few are listed.
func TestFewVMsAreAllAsked(t *testing.T) {
	f := newFleet(t, 2, 3)
	f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
	f.suspect(f.vms[1], f.upstream(1))
	f.run(secondRetransmission)
	expectGone(t, f.vms[1], 1)
}

// TestQuestionsAreFew asks at most 12 VMs about an upstream, once in half a second, and about several
// upstreams of a domain in one datagram each.
func TestQuestionsAreFew(t *testing.T) {
	f := newFleet(t, 96, 30)
	v := f.vms[0]
	var suspects []sparprobe.Suspect
	for id := uint64(1); id <= 30; id += 3 { // of one failure domain
		suspects = append(suspects, sparprobe.Suspect{Upstream: f.upstream(id), Since: f.now - firstRetransmission})
	}
	questions := v.asker.Begin(f.now, suspects)
	near := 0
	for _, q := range questions {
		if len(q.Marks) != len(suspects) {
			t.Errorf("%d upstreams in one datagram, want %d", len(q.Marks), len(suspects))
		}
		for _, other := range f.vms {
			if other.Name == q.To && other.Domain == domain(0) {
				near++
			}
		}
	}
	if len(questions) != 12 || near != 8 {
		t.Errorf("%d VMs asked, %d of the domain, want 12 and 8", len(questions), near)
	}
	if again := v.asker.Begin(f.now+490*time.Millisecond, suspects); len(again) > 0 {
		t.Errorf("%d VMs asked again before 500 ms", len(again))
	}
}

// TestSmallSettings asks a VM of the upstream's failure domain whatever the number of VMs to ask.
func TestSmallSettings(t *testing.T) {
	vms := []sparprobe.VM{{Name: "vm-1", Domain: "north"}, {Name: "vm-2", Domain: "north"}, {Name: "vm-3", Domain: "south"}}
	for most := 1; most <= 3; most++ {
		a := sparprobe.NewAsker(vms[0], 1, most)
		a.SetVMs(vms)
		questions := a.Begin(time.Minute, []sparprobe.Suspect{{Upstream: sparprobe.Upstream{ID: 1, Domain: "north"}, Since: time.Minute}})
		near := 0
		for _, q := range questions {
			if q.To == "vm-2" {
				near++
			}
		}
		if near != 1 || len(questions) != min(most, 2) {
			t.Errorf("%d to ask: %d questions, %d to the failure domain", most, len(questions), near)
		}
	}
}
