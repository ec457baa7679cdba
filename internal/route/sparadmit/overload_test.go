package sparadmit_test

import (
	"slices"
	"testing"
	"time"
)

const (
	urgent = 1
	later  = 2
)

var (
	// The demand of both is a fifth of 60 slots.
	lookups = kind{priority: later, perSecond: 246, work: 30 * time.Millisecond, objective: 400 * time.Millisecond}
	orders  = kind{priority: urgent, perSecond: 122, work: 39 * time.Millisecond, objective: 500 * time.Millisecond}
)

// busyPool returns a pool of 60 slots behind 16 VMs after a while of usual load.
func busyPool(kinds ...kind) *pool {
	p := newPool(16, 30, kinds...)
	p.run(8*time.Second, 1)
	p.takeResults()
	return p
}

// TestUsualLoad covers an average use of 60% of the slots by requests that arrive at random and
// four at a time: nothing is refused.
func TestUsualLoad(t *testing.T) {
	p := newPool(16, 30, lookups, orders)
	p.batch = 4
	p.run(30*time.Second, 3)
	for _, r := range p.takeResults() {
		if r.refusals > 0 {
			t.Errorf("%d of %d requests refused", r.refusals, r.requests)
		}
	}
}

// TestDemandOfAllKinds covers six times the usual demand of all, 1.2 times the slots: the urgent
// kind is served in time, the other one gets the rest of the slots.
func TestDemandOfAllKinds(t *testing.T) {
	p := busyPool(lookups, orders)
	p.run(time.Second, 6)
	p.takeResults()
	p.run(5*time.Second, 6)
	r := p.takeResults()
	wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), 0.95)
	wantAtLeast(t, "other requests in time", r[0].inTimeShare(), 0.6) // 0.66 of them have a slot
	wantAtMost(t, "tries turned away", r[0].turnedAwayShare(), 0.1)   // a third without admission
}

// TestDemandOfOneKind covers seven times the usual demand of the less urgent kind alone: the
// other one doesn't notice.
func TestDemandOfOneKind(t *testing.T) {
	p := busyPool(lookups, orders)
	p.run(6*time.Second, 8, 1)
	r := p.takeResults()
	wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), 0.95)
	wantAtMost(t, "urgent flows refused", float64(r[1].refusals)/float64(r[1].requests), 0.03)
	wantAtLeast(t, "other requests in time", r[0].inTimeShare(), 0.85) // 0.94 of them have a slot
}

// TestFloor covers a demand of the urgent kind alone that exceeds the slots: the other kind
// still gets a share.
func TestFloor(t *testing.T) {
	p := busyPool(lookups, orders)
	p.run(6*time.Second, 1, 20)
	r := p.takeResults()
	wantAtLeast(t, "requests of the less urgent kind in time", r[0].inTimeShare(), 0.1)
	wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), 0.45) // 0.63 of them have a slot
}

// TestRejectionsHideNoQueue covers twelve times the usual demand. Full upstreams turn most
// requests away, much faster than they serve any.
func TestRejectionsHideNoQueue(t *testing.T) {
	p := busyPool(lookups, orders)
	p.run(2*time.Second, 12)
	p.takeResults()
	p.run(3*time.Second, 12)
	r := p.takeResults()
	wantAtMost(t, "tries turned away", r[0].turnedAwayShare(), 0.1)
	wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), 0.7) // 0.99 of them have a slot
}

// TestVMsConverge covers an overload at 16 VMs that don't hear of each other. All of them refuse
// about the same share.
func TestVMsConverge(t *testing.T) {
	p := busyPool(lookups, orders)
	p.run(20*time.Second, 1) // the VMs know response times well
	p.run(3*time.Second, 6)
	for _, v := range p.vms {
		v.tries, v.refusals = 0, 0
	}
	p.run(5*time.Second, 6)
	var shares []float64
	for i, v := range p.vms {
		share := float64(v.refusals) / float64(v.tries)
		if share < 0.15 || share > 0.8 { // half of all tries are refused
			t.Errorf("VM %d refuses %.2f of its flows", i, share)
		}
		shares = append(shares, share)
	}
	slices.Sort(shares)
	quartiles := shares[len(shares)*3/4] - shares[len(shares)/4]
	wantAtMost(t, "difference of the quartiles of the refused shares", quartiles, 0.25)
}

// TestSlowUpstreams covers a quarter of the upstreams that take five times as long. Nothing is
// refused while the others have free slots.
func TestSlowUpstreams(t *testing.T) {
	p := busyPool(lookups, orders)
	for _, u := range p.upstreams[:len(p.upstreams)/4] {
		u.slow = 5
	}
	p.run(6*time.Second, 2)
	for _, r := range p.takeResults() {
		if r.refusals > 0 {
			t.Errorf("%d of %d requests refused at half of the slots", r.refusals, r.requests)
		}
	}
	p.run(time.Second, 5)
	p.takeResults()
	p.run(5*time.Second, 5) // 1.2 times what the upstreams can do
	r := p.takeResults()
	wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), 0.8) // a fifth may meet a slow one
}

// TestRecovery covers the end of an overload: a second later nothing is refused.
func TestRecovery(t *testing.T) {
	p := busyPool(lookups, orders)
	p.run(6*time.Second, 6)
	p.run(time.Second, 1)
	p.takeResults()
	p.run(2*time.Second, 1)
	r := p.takeResults()
	wantAtMost(t, "refused requests", float64(r[0].refusals+r[1].refusals)/float64(r[0].requests+r[1].requests), 0.02)
	for i, level := range p.levels() {
		if level > 0 {
			t.Errorf("VM %d still refuses %.2f", i, level)
		}
		if p.vms[i].limiter.State(p.now).Began > 0 {
			t.Errorf("VM %d still reports an overload", i)
		}
	}
}

// TestUnevenCallers covers an overload where a quarter of the VMs has three times the callers of
// the others. No VM refuses nearly all of its callers.
func TestUnevenCallers(t *testing.T) {
	p := newPool(16, 30, lookups, orders)
	for _, v := range p.vms[:4] {
		v.share = 3
	}
	p.run(8*time.Second, 1)
	p.run(time.Second, 6)
	for _, v := range p.vms {
		v.tries, v.refusals = 0, 0
	}
	p.run(5*time.Second, 6)
	for i, v := range p.vms {
		if share := float64(v.refusals) / float64(v.tries); share > 0.8 { // half of all tries are refused
			t.Errorf("VM %d refuses %.2f of its flows", i, share)
		}
	}
}

// TestStartUnderOverload covers a VM that starts during an overload. It has seen no response
// without queueing.
func TestStartUnderOverload(t *testing.T) {
	p := busyPool(lookups, orders)
	p.run(3*time.Second, 6)
	v := p.addVM()
	p.run(3*time.Second, 6)
	v.tries, v.refusals = 0, 0
	p.run(5*time.Second, 6)
	wantAtLeast(t, "flows that the new VM refuses", float64(v.refusals)/float64(v.tries), 0.1)
}

// TestAllStartUnderOverload covers VMs that all start at once during an overload.
func TestAllStartUnderOverload(t *testing.T) {
	p := newPool(16, 30, lookups, orders)
	p.run(3*time.Second, 6)
	p.takeResults()
	p.run(5*time.Second, 6)
	r := p.takeResults()
	wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), 0.9)
}

// TestFewCallers covers a VM with hardly any traffic. It can't tell an overload and refuses nothing.
func TestFewCallers(t *testing.T) {
	p := newPool(16, 30, lookups, orders)
	v := p.vms[0]
	v.share = 0.01
	p.run(8*time.Second, 1)
	p.run(6*time.Second, 6)
	if v.refusals > 0 {
		t.Errorf("%d of %d flows refused", v.refusals, v.tries)
	}
}
