package sparmember_test

import (
	"fmt"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// Two VMs that are registered at the platform exchange heartbeats. Each of them owns slots once it
// has listened for others, until the other one's heartbeats stay away.
func ExampleTracker() {
	const ticks = 10
	a, b := sparconfig.VM{Name: "a"}, sparconfig.VM{Name: "b"}
	ta, tb := sparmember.NewTracker(a, 1, 0), sparmember.NewTracker(b, 1, 0)
	for _, t := range []*sparmember.Tracker{ta, tb} {
		t.List([]sparconfig.VM{a, b})
		t.Synced()
	}
	show := func(now time.Duration) {
		view := ta.View(now)
		fmt.Print("a after ", now, ", settled ", view.Settled, ":")
		for _, m := range view.Members {
			fmt.Print(" ", m.VM.Name)
		}
		fmt.Println()
	}
	show(0)
	now := time.Duration(0)
	for range ticks {
		now += sparmember.Beat
		ta.Tick(now)
		tb.Tick(now)
		ta.View(now)
		tb.View(now)
		fromA, fromB := ta.Heartbeat(sparregistry.Position{}, 0, now), tb.Heartbeat(sparregistry.Position{}, 0, now)
		fromA.Full, fromB.Full = true, true // with the addresses, which the first heartbeat must have
		ta.Received(fromB, now)
		tb.Received(fromA, now)
	}
	show(now)
	for range ticks { // b is silent
		now += sparmember.Beat
		ta.Tick(now)
	}
	show(now)
	// Output:
	// a after 0s, settled true:
	// a after 3s, settled true: a b
	// a after 6s, settled true: a
}
