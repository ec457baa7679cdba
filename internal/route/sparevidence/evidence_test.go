package sparevidence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// Example ejects an upstream on the evidence of two VMs.
func Example() {
	b := sparevidence.New("vm-1", 1)
	b.SetVMs([]sparevidence.VM{{Name: "vm-1", Domain: "north"}, {Name: "vm-2", Domain: "north"}})
	b.SetUpstreams([]sparevidence.Upstream{{ID: 7, Service: "booking"}, {ID: 8, Service: "booking"}})
	now := time.Second
	b.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: 7, Counts: sparevidence.Counts{Unanswered: 2}}}})
	fmt.Println(len(b.Evaluate(now)))
	now += 100 * time.Millisecond
	_ = b.Receive(now, sparevidence.Report{From: "vm-2", Run: 1, Sent: now, Seen: 2, Bad: 1, Upstreams: []sparevidence.Entry{
		{ID: 7, Counts: sparevidence.Counts{Unanswered: 2}, Answered: sparevidence.Never},
	}})
	for _, c := range b.Evaluate(now) {
		fmt.Println(c.Upstream.ID, c.Weight, c.Cause, c.Witnesses)
	}
	// Output:
	// 0
	// 7 0 failed [vm-2 vm-1]
}

// TestMuteUpstreams covers upstreams that open flows and never answer a request, at 16 VMs which
// see 2.8 requests a second in all: a VM sees each upstream once a minute.
func TestMuteUpstreams(t *testing.T) {
	f := newFleet(t, 16, 10, 2.8)
	f.run(30 * time.Second)
	f.reset()
	f.behave = func(_ int, id uint64) outcome {
		if id <= 2 {
			return mute
		}
		return answered
	}
	f.run(2 * time.Minute)
	t.Logf("%d of %d requests lost", f.lost, f.sent)
	// For each upstream: two witnesses, one that is under way, and some trials.
	if most := 2 * 8; f.lost > most {
		t.Errorf("%d of %d requests lost, want at most %d", f.lost, f.sent, most)
	}
	f.behave = func(int, uint64) outcome { return answered }
	f.run(time.Minute)
	f.reset()
	f.run(2 * time.Minute)
	if got := f.at[1] + f.at[2]; got < f.sent/10 {
		t.Errorf("%d of %d requests at the two upstreams after their return, want a tenth at least", got, f.sent)
	}
}

// TestSilentUpstreamAtManyVMs covers a crash at 24 VMs with 700 requests a second in all.
func TestSilentUpstreamAtManyVMs(t *testing.T) {
	f := newFleet(t, 24, 30, 700)
	f.run(10 * time.Second)
	f.reset()
	f.behave = func(_ int, id uint64) outcome {
		if id == 1 {
			return silent
		}
		return answered
	}
	f.run(2 * time.Second)
	t.Logf("%d of %d requests lost", f.lost, f.sent)
	if f.lost >= 24 {
		t.Errorf("%d requests lost until it is known, want fewer than one for each VM", f.lost)
	}
	f.reset()
	f.run(8 * time.Second)
	t.Logf("%d of %d requests lost", f.lost, f.sent)
	if f.lost >= 24 {
		t.Errorf("%d requests lost by trials, want fewer than one for each VM", f.lost)
	}
	if n := f.count(1, 0, sparevidence.Trickle); n != 24 {
		t.Errorf("%d VMs avoid the upstream, want all", n)
	}
}

// TestPartlyFailingUpstream covers an upstream that loses a third of its requests: it gets less
// load and still some.
func TestPartlyFailingUpstream(t *testing.T) {
	f := newFleet(t, 16, 10, 200)
	f.run(10 * time.Second)
	f.behave = func(_ int, id uint64) outcome {
		if id == 1 && f.random.IntN(3) == 0 {
			return mute
		}
		return answered
	}
	f.run(10 * time.Second)
	f.reset()
	f.run(20 * time.Second)
	if got := f.at[1]; got > f.sent/20 || got < f.sent/500 {
		t.Errorf("%d of %d requests, want less than half of its share of a tenth, and some", got, f.sent)
	}
	f.behave = func(int, uint64) outcome { return answered }
	f.run(30 * time.Second)
	f.reset()
	f.run(10 * time.Second)
	if got := f.at[1]; got < f.sent/15 {
		t.Errorf("%d of %d requests after its recovery, want about a tenth", got, f.sent)
	}
}

// TestSlowUpstream covers an upstream with five times the response time of its peers.
func TestSlowUpstream(t *testing.T) {
	f := newFleet(t, 16, 10, 200)
	f.behave = func(_ int, id uint64) outcome {
		if id == 1 || f.random.IntN(33) == 0 { // a few answers are slow everywhere
			return slow
		}
		return answered
	}
	f.run(10 * time.Second)
	f.reset()
	f.run(10 * time.Second)
	if got := f.at[1]; got > f.sent/20 || got < f.sent/100 {
		t.Errorf("%d of %d requests at the slow upstream, want less than half of its share of a tenth, and some", got, f.sent)
	}
	for id := uint64(2); id <= 10; id++ {
		if n := f.count(id, 0, 0.9); n > 0 {
			t.Errorf("upstream %d gets less load from %d VMs", id, n)
		}
	}
}

// TestOverload covers demand above the capacity: a third of the requests of all upstreams is lost,
// and no upstream is singled out.
func TestOverload(t *testing.T) {
	f := newFleet(t, 16, 10, 400)
	f.behave = func(int, uint64) outcome {
		if f.random.IntN(3) == 0 {
			return mute
		}
		return answered
	}
	f.run(20 * time.Second)
	for id := uint64(1); id <= 10; id++ {
		if n := f.count(id, 0, 0.5); n > 2 {
			t.Errorf("upstream %d gets half of its load or less from %d of 16 VMs", id, n)
		}
	}
}

// TestSickVM covers a VM that reports all upstreams as failing, since its own link has failed.
func TestSickVM(t *testing.T) {
	f := newFleet(t, 8, 10, 100)
	f.behave = func(vm int, _ uint64) outcome {
		if vm == 0 {
			return silent
		}
		return answered
	}
	f.run(20 * time.Second)
	for _, m := range f.vms[1:] {
		if len(m.weights) > 0 {
			t.Errorf("VM %d has weights %v by the reports of one VM", m.index, m.weights)
		}
	}
}

// TestTwoVMsLoseOneUpstream covers a cut: two of 16 VMs lose an upstream that serves the others.
func TestTwoVMsLoseOneUpstream(t *testing.T) {
	f := newFleet(t, 16, 10, 400)
	f.behave = func(vm int, id uint64) outcome {
		if vm < 2 && id == 1 {
			return silent
		}
		return answered
	}
	f.run(2 * time.Second)
	f.reset()
	f.run(20 * time.Second)
	for _, m := range f.vms[2:] {
		if w := m.weight(1); w < 0.5 {
			t.Errorf("VM %d has weight %v for an upstream that it reaches", m.index, w)
		}
	}
	if f.at[1] < f.sent/20 {
		t.Errorf("%d of %d requests at the upstream, want about a tenth", f.at[1], f.sent)
	}
}

// TestHalfOfVMsCutOff covers a cut through the failure domain: half of the VMs lose half of the
// upstreams, and hear the others still.
func TestHalfOfVMsCutOff(t *testing.T) {
	f := newFleet(t, 16, 10, 400)
	f.behave = func(vm int, id uint64) outcome {
		if vm < 8 && id <= 4 {
			return silent
		}
		return answered
	}
	f.run(5 * time.Second)
	f.reset()
	f.run(20 * time.Second)
	for _, m := range f.vms[8:] {
		for id, w := range m.weights {
			if w == 0 {
				t.Errorf("VM %d has ejected upstream %d that it reaches", m.index, id)
			}
		}
	}
}

// TestAllUpstreamsFail checks that at most half of a service is ejected if not all VMs say so, and
// that all are spread over if they do.
func TestAllUpstreamsFail(t *testing.T) {
	f := newFleet(t, 8, 10, 200)
	f.run(5 * time.Second)
	f.behave = func(int, uint64) outcome { return silent }
	f.run(10 * time.Second)
	f.reset()
	f.run(10 * time.Second)
	for id := uint64(1); id <= 10; id++ {
		if f.at[id] < f.sent/100 {
			t.Errorf("%d of %d requests at upstream %d, want them spread", f.at[id], f.sent, id)
		}
	}
	f.behave = func(int, uint64) outcome { return answered }
	f.run(40 * time.Second)
	for id := uint64(1); id <= 10; id++ {
		if n := f.count(id, 1, 1); n < 8 {
			t.Errorf("%d VMs use upstream %d fully after the return, want all", n, id)
		}
	}
}

// TestHalfIsEjectedAtMost covers six of ten upstreams that fail for three of eight VMs.
func TestHalfIsEjectedAtMost(t *testing.T) {
	b := newBoard(8, 10)
	now := time.Minute
	for vm := 1; vm <= 3; vm++ {
		r := sparevidence.Report{From: vmName(vm), Run: 1, Sent: now, Seen: 20, Bad: 6}
		for id := range uint64(6) {
			r.Upstreams = append(r.Upstreams, sparevidence.Entry{ID: id + 1, Born: 7, Counts: sparevidence.Counts{Unanswered: 3}, Answered: sparevidence.Never})
		}
		mustReceive(t, b, now, r)
	}
	ejected, eased := 0, 0
	for _, c := range b.Evaluate(now) {
		if c.Weight == 0 {
			ejected++
		} else {
			eased++
		}
	}
	if ejected != 5 || eased != 1 {
		t.Errorf("%d upstreams ejected and %d eased, want 5 and 1", ejected, eased)
	}
}

// TestAllVMsAgree checks that more than half is ejected if each VM that reports here says so.
func TestAllVMsAgree(t *testing.T) {
	b := newBoard(4, 3)
	now := time.Minute
	for vm := 1; vm < 4; vm++ {
		mustReceive(t, b, now, sparevidence.Report{From: vmName(vm), Run: 1, Sent: now, Seen: 3, Bad: 2, Upstreams: []sparevidence.Entry{
			{ID: 1, Born: 7, Counts: sparevidence.Counts{Failed: 2}, Answered: sparevidence.Never}, {ID: 2, Born: 7, Counts: sparevidence.Counts{Failed: 2}, Answered: sparevidence.Never},
		}})
	}
	changes := b.Evaluate(now)
	if len(changes) != 2 || changes[0].Weight != 0 || changes[1].Weight != 0 {
		t.Errorf("%+v, want two of three upstreams ejected", changes)
	}
}

// TestNewVM starts a VM while an upstream is mute: it learns of it from the others.
func TestNewVM(t *testing.T) {
	f := newFleet(t, 16, 10, 50)
	f.behave = func(_ int, id uint64) outcome {
		if id == 1 {
			return mute
		}
		return answered
	}
	f.vms[5].stopped = true
	f.run(20 * time.Second)
	var list []sparevidence.VM
	for n := range f.vms {
		list = append(list, sparevidence.VM{Name: vmName(n), Domain: "north"})
	}
	f.vms[5].stopped = false
	f.vms[5].start(f, list)
	if changes := f.vms[5].board.Evaluate(f.now); len(changes) > 0 {
		t.Errorf("%v without any evidence", changes)
	}
	f.run(20 * time.Second)
	if w := f.vms[5].weight(1); w > sparevidence.Trickle {
		t.Errorf("weight %v of a mute upstream 20 s after the start", w)
	}
}

// TestCalmFleetIsSilent checks that nothing is said while all is well, with a few requests lost by
// chance.
func TestCalmFleetIsSilent(t *testing.T) {
	f := newFleet(t, 16, 10, 200)
	f.behave = func(int, uint64) outcome {
		if f.random.IntN(200) == 0 {
			return mute
		}
		return answered
	}
	f.run(30 * time.Second)
	if f.changes > 0 {
		t.Errorf("%d changes of weights", f.changes)
	}
}
