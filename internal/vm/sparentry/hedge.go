package sparentry

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/platform"
)

// hedgeTick is the least time until the timer of hedges fires again, so that openings that begin one
// shortly after the other share a wakeup.
const hedgeTick = time.Millisecond

// hedger keeps the SYNs that wait for an answer, and sends them to a second upstream when the engine
// says so. Its timer runs only while one waits.
type hedger struct {
	syns  [sparcookie.HedgeSlots][platform.HeaderBytes]byte
	timer *time.Timer
	armed bool
}

// newHedger returns a hedger, or nil if the settings allow no hedges.
func newHedger(share float64) *hedger {
	if share <= 0 {
		return nil
	}
	h := &hedger{timer: time.NewTimer(time.Hour)}
	h.timer.Stop()
	return h
}

// due returns the channel of the timer, which is never ready without hedges.
func (h *hedger) due() <-chan time.Time {
	if h == nil {
		return nil
	}
	return h.timer.C
}

// holdSYN keeps the SYN p if its verdict says that it waits for an answer.
func (vm *VM) holdSYN(p *packet, v sparcookie.Verdict) {
	if vm.hedges == nil || v.Awaits == 0 {
		return
	}
	copy(vm.hedges.syns[v.Awaits-1][:], p.bytes())
	vm.armHedges()
}

// armHedges starts the timer if an opening waits.
func (vm *VM) armHedges() {
	if vm.hedges.armed {
		return
	}
	at, ok := vm.engine.NextHedge()
	if !ok {
		return
	}
	vm.hedges.armed = true
	vm.hedges.timer.Reset(max(at-time.Since(vm.began), hedgeTick))
}

// sendHedges sends the SYNs that are due to their second upstreams, as they came but for the fields
// that the system may write.
func (vm *VM) sendHedges() {
	vm.hedges.armed = false
	vm.engine.Advance(time.Since(vm.began))
	var b [platform.TagBytes + platform.HeaderBytes]byte
	for _, h := range vm.engine.DueHedges() {
		copy(b[platform.TagBytes:], vm.hedges.syns[h.Slot][:])
		platform.SetUpstream(b[:], h.ID, h.Cookie)
		vm.send(b[:], h.At)
		vm.logHedge(h)
	}
	vm.armHedges()
}

func (vm *VM) logHedge(h sparcookie.Hedge) {
	vm.log.WithFields(logrus.Fields{
		"flow": h.From.String() + ">" + h.To.String(), "do": h.Action.String(), "cause": h.Cause.String(),
		"upstream": fmt.Sprintf("%x", h.ID), "at": h.At.String(),
		"first": fmt.Sprintf("%x", h.First.ID), "first_at": h.First.At.String(), "waited_ms": h.Waited.Milliseconds(),
		"version": vm.engine.Roster().Routing.Version, "age_ms": vm.age.Milliseconds(),
	}).Info("opening hedged")
}

// publishHedges updates the metrics of hedges.
func (m *metrics) publishHedges(stats sparcookie.HedgeStats) {
	m.count("hedged_openings", stats.Sent)
	m.count("hedges_won", stats.Won)
	for d, n := range stats.Denied {
		m.countTagged("hedges_denied", "cause", sparcookie.HedgeDenial(d).String(), n)
	}
}
