package sparroute

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
)

// Frozen gives up all slots after a pause of the process, as other VMs have taken them
// over. They get the records of this VM with the next view, unless the pause was so long
// that the flows may have ended long ago.
func (e *Engine) Frozen(pause time.Duration) {
	e.cache.Clear()
	e.view = sparmember.View{}
	e.me = -1
	e.roles = nil
	e.pending = nil
	for _, g := range e.groups {
		for n := range g.slots {
			g.slots[n].resumed = g.slots[n].phase == owning && pause < linger
			g.slots[n].phase = slotChart.Next(g.slots[n].phase, "frozen")
			g.slots[n].changingDefault = false
		}
		g.recount()
	}
}

// Tick does the periodic work that is due.
func (e *Engine) Tick() {
	for _, name := range sorted(e.groups) {
		g := e.groups[name]
		e.expireDrains(g)
		e.tickHealth(g)
		g.load.tick()
		if e.now-g.endedFlushed >= endedFlushEvery {
			g.endedFlushed = e.now
			e.flushEnded(g)
		}
		if g.scanDue && e.now-g.scanned >= scanEvery {
			e.scan(g)
		}
	}
	e.completePending()
	if e.now-e.collected >= collectEvery {
		e.collected = e.now
		for _, g := range e.groups {
			e.collectFlows(g)
		}
	}
}

// scan retries and completes what slots wait for. It iterates over all slots, so it
// runs only while some slot waits.
func (e *Engine) scan(g *group) {
	g.scanned = e.now
	g.scanDue = false
	waiting := e.expireAwaiting(g)
	waiting = e.retryHandovers(g) || waiting
	e.flush(g)
	changing := e.changeDefaults(g)
	g.scanDue = g.scanDue || waiting || changing
}
