package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// answer lets the upstream of the latest flow answer its SYN.
func (f *warmFixture) answer(v sparcookie.Verdict) {
	ack := sparcookie.Segment{From: siteClient(f.port), To: bookingAddr, Seq: 101, Ack: 500, Cookie: v.Cookie}
	f.packet(f.vm, ack, func(sparcookie.Verdict) {})
}

// openAnswered opens flows that are answered at once, and returns how many the upstream got.
func (f *warmFixture) openAnswered(n int, id uint64) (got int) {
	for range n {
		v := f.open()
		f.answer(v)
		if v.ID == id {
			got++
		}
	}
	return got
}

// TestUpstreamBackAfterAFailure covers a server that failed and is back: it may have restarted under
// its ID and warm up, and the settings don't say so yet. A VM that is no holder waits for settings
// of after that.
func TestUpstreamBackAfterAFailure(t *testing.T) {
	f := newWarmFixture(t, 1, sparconfig.WarmLimit{Overage: 1}) // one holder, in south
	other, id := f.add("south", 0), f.add("south", 0)
	f.drain()
	v := f.open()
	for v.ID != id {
		f.answer(v)
		v = f.open()
	}
	f.wait(100 * time.Millisecond)
	late := f.port
	f.openAnswered(5, id) // ejects it
	f.port, late = late, f.port
	f.answer(v) // and ends the ejection
	f.port = late
	if got := f.openAnswered(20, id); got != 0 {
		t.Errorf("%d openings at the upstream that is back, want none before the settings of after that", got)
	}
	f.learn()
	if got := f.openAnswered(20, id); got == 0 {
		t.Error("no openings at the upstream with settings of after its return, want some")
	}
	f.edit(other, draining)
	f.edit(id, draining)
	f.learn()
	wantVerdict(t, f.open(), sparcookie.Reset, sparcookie.NoUpstream)
}

// TestRequestsOnOpenFlowsCount sends requests on open flows of an upstream: they use up the quota, and
// are not held back. The first request of a flow counts with its opening.
func TestRequestsOnOpenFlowsCount(t *testing.T) {
	f := newWarmFixture(t, 6, sparconfig.WarmLimit{Overage: 1}) // parts of 2
	f.add("north", time.Minute)
	f.drain()
	request := func(v sparcookie.Verdict, n uint32) {
		seg := sparcookie.Segment{From: siteClient(f.port), To: bookingAddr, Seq: 1 + 100*n, Ack: 100 + 400*n, Cookie: v.Cookie}
		f.packet(f.vm, seg, func(sparcookie.Verdict) {})
		seg.Size = 100
		f.packet(f.vm, seg, func(got sparcookie.Verdict) { wantVerdict(t, got, sparcookie.ToUpstream, sparcookie.Carried) })
	}
	v, port := f.open(), f.port
	request(v, 1)
	wantVerdict(t, f.open(), sparcookie.ToUpstream, sparcookie.Placed)
	f.wait(1001 * time.Millisecond)
	f.port, port = port, f.port
	for n := range uint32(4) {
		request(v, n+2)
	}
	f.port = port
	wantVerdict(t, f.open(), sparcookie.Reset, sparcookie.WarmLimit)
}

// TestQuotaAllocatesNothing sends SYNs and requests under a limit, on the path of each packet.
func TestQuotaAllocatesNothing(t *testing.T) {
	f := newWarmFixture(t, 1, sparconfig.WarmLimit{Overage: 1})
	f.add("north", time.Hour)
	f.drain()
	f.open()
	seg := sparcookie.Segment{From: siteClient(99_999), To: bookingAddr, Seq: 100, Kind: sparcookie.SYN}
	if n := testing.AllocsPerRun(100, func() { f.vm.engine.Forward(seg) }); n != 0 {
		t.Errorf("%v allocations for an opening that is refused, want none", n)
	}
}

// TestUpstreamBackWithItsDomain covers a failure domain that was silent and is back. An upstream there
// that this VM has not ejected, since it sent it nothing meanwhile, may have restarted like the others:
// once it answers, a VM that is no holder waits for settings of after that.
func TestUpstreamBackWithItsDomain(t *testing.T) {
	f := newWarmFixture(t, 1, sparconfig.WarmLimit{Overage: 1}) // one holder, not this VM
	south := map[uint64]bool{}
	for range 5 {
		south[f.add("south", 0)] = true
	}
	f.add("west", 0)
	f.drain()
	tried := f.silence(south)
	back := f.firstAnswer(south, tried)
	if got := f.openAnswered(60, back); got != 0 {
		t.Errorf("%d openings at an upstream that is back with its domain, want none before the settings of after that", got)
	}
	f.learn()
	if got := f.openAnswered(60, back); got == 0 {
		t.Error("no openings with settings of after its return, want some")
	}
}

// TestUpstreamBackByEvidence covers an upstream that other VMs had ejected, and which answers them again.
func TestUpstreamBackByEvidence(t *testing.T) {
	f := newWarmFixture(t, 1, sparconfig.WarmLimit{Overage: 1}) // one holder, not this VM
	f.add("south", 0)
	id := f.add("south", 0)
	f.drain()
	f.vm.engine.SetWeight(id, 0.5)
	if got := f.openAnswered(20, id); got == 0 {
		t.Error("no openings at an upstream of half the weight, want some")
	}
	f.vm.engine.SetWeight(id, 0)
	f.vm.engine.SetWeight(id, 1)
	if got := f.openAnswered(60, id); got != 0 {
		t.Errorf("%d openings at an upstream that is back, want none before the settings of after that", got)
	}
	f.learn()
	if got := f.openAnswered(60, id); got == 0 {
		t.Error("no openings with settings of after its return, want some")
	}
}

// silence opens flows until a failure domain is suspect, with its upstreams silent. It returns those
// that were sent a SYN.
func (f *warmFixture) silence(silent map[uint64]bool) (tried map[uint64]bool) {
	tried = map[uint64]bool{}
	f.vm.engine.Events()
	for range 200 {
		if v := f.open(); silent[v.ID] {
			tried[v.ID] = true
		} else {
			f.answer(v)
		}
		f.wait(20 * time.Millisecond)
		for _, event := range f.vm.engine.Events() {
			if e, ok := event.(sparcookie.DomainChanged); ok && e.Suspect {
				return tried
			}
		}
	}
	f.t.Fatal("the failure domain is not suspect")
	return nil
}

// firstAnswer opens flows, all of which are answered, until an upstream of a domain that was not tried
// while it was silent has answered.
func (f *warmFixture) firstAnswer(domain, tried map[uint64]bool) uint64 {
	for range 500 {
		v := f.open()
		f.answer(v)
		if domain[v.ID] && !tried[v.ID] {
			return v.ID
		}
		f.wait(10 * time.Millisecond)
	}
	f.t.Fatal("no upstream is probed")
	return 0
}
