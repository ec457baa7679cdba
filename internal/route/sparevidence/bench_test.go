package sparevidence_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// BenchmarkTick runs what a VM does in each tick of 50 ms: with nothing to say, and while 16 others
// report five upstreams each.
func BenchmarkTick(b *testing.B) {
	for name, reports := range map[string]int{"calm": 0, "16 VMs report": 16} {
		b.Run(name, func(b *testing.B) {
			board := newBoard(24, 150)
			now := time.Minute
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += step
				board.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{
					{ID: uint64(n%150 + 1), Counts: sparevidence.Counts{Opened: 1, Answered: 1}},
					{ID: uint64((n+7)%150 + 1), Counts: sparevidence.Counts{Opened: 1, Answered: 1}},
				}})
				if reports > 0 { // each VM once a second
					r := sparevidence.Report{From: vmName(n%reports + 1), Run: 1, Sent: now, Seen: 100, Bad: 5}
					for id := range uint64(sparevidence.MaxNamed) {
						r.Upstreams = append(r.Upstreams, sparevidence.Entry{ID: id + 1, Born: 7, Counts: sparevidence.Counts{Failed: 2}, Answered: sparevidence.Never})
					}
					_ = board.Receive(now, r)
				}
				board.Evaluate(now)
				board.Compose(now)
			}
		})
	}
}
