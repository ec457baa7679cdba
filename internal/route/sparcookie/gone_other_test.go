package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// TestFlowOfALaterStart covers an upstream that has restarted under its ID and takes flows through VMs that
// know it, while this VM still has the verdict on the earlier start: a flow that moves here is new to this
// VM and may be open at the later start.
func TestFlowOfALaterStart(t *testing.T) {
	f := newFixture(t)
	f.flowAt(1)
	f.wait(retransmitAfter)
	f.setGone(1)
	f.wait(100 * time.Millisecond)
	other := newFixture(t)
	moved := other.flowAt(1)
	moved.f, moved.s.From = f, moved.s.From+7
	wantVerdict(t, moved.request(), sparcookie.ToUpstream, sparcookie.Carried)
	for _, ended := range f.engine.ResetPending(sparprobe.Outcome{Upstream: sparprobe.Upstream{ID: 1, Born: 1}}) {
		if ended.From == moved.s.From {
			t.Errorf("%+v: a flow that is younger than the round", ended)
		}
	}
	f.setGone(1) // a later round finds it silent as well
	f.wait(retransmitAfter)
	f.setGone(1)
	wantVerdict(t, moved.request(), sparcookie.Reset, sparcookie.UpstreamGone)
}

// TestUnknownCookie covers a flow at an upstream that this VM does not know yet, where its record of the same
// addresses is of an earlier attempt at an upstream that is gone: the record is no reason for a reset.
func TestUnknownCookie(t *testing.T) {
	tests := map[string]func(f *fixture){
		"gone":     func(f *fixture) { f.setGone(1) },
		"replaced": func(f *fixture) { f.replace(1) },
		"crashed": func(f *fixture) {
			f.engine.SetWeight(1, 0)
			f.remove(1)
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c := f.flowAt(1)
			f.wait(retransmitAfter / 2)
			end(f)
			f.wait(retransmitAfter / 2)
			c.s.Cookie = 12345 // of an upstream that only other VMs know
			for range 2 {
				if v := c.request(); v.Action == sparcookie.Reset {
					t.Errorf("%v %v", v.Action, v.Cause)
				}
				f.wait(retransmitAfter)
			}
		})
	}
}

// replace gives the address of an upstream to another one that started later, and removes its entry.
func (f *fixture) replace(id uint64) {
	next := newUpstream(99, "north")
	for _, u := range f.upstreams {
		if u.ID == id {
			next.At = u.At
		}
	}
	f.upstreams = append(f.upstreams, next)
	f.remove(id)
}

// TestNewOwnerBornEarlier covers an upstream at the address of a crashed one whose clock was ahead when it started,
// so that the entry of the crashed one has the later start and stands for a while. A flow of the new owner moves
// here, before this VM has had a sign of life from it.
func TestNewOwnerBornEarlier(t *testing.T) {
	f := newFixture(t)
	f.edit(1, func(u *sparroster.Upstream) { u.Born = 99 })
	f.wait(time.Second)
	next := newUpstream(9, "north")
	next.At = f.upstreams[0].At
	f.upstreams = append(f.upstreams, next)
	f.apply()
	other := newFixture(t)
	other.upstreams = append(other.upstreams, next)
	other.apply()
	moved := other.flowAt(9)
	moved.f = f
	f.wait(time.Second)
	for range 2 { // the second one is a retransmission
		if v := moved.request(); v.Action != sparcookie.ToUpstream || v.ID != 9 {
			t.Errorf("%+v, want it sent to upstream 9", v)
		}
		f.wait(retransmitAfter)
	}
}

// TestPacketBeforeTheTick covers the first packet after a pause, which this VM handles before its next tick: a
// sign of life may be waiting behind it.
func TestPacketBeforeTheTick(t *testing.T) {
	f := newFixture(t)
	c := f.flowAt(1)
	f.wait(retransmitAfter)
	f.setGone(1)
	f.now += 3 * tickEvery
	wantVerdict(t, c.request(), sparcookie.ToUpstream, sparcookie.Assisted)
}
