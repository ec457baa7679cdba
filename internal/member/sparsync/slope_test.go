package sparsync_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkVMs reports what VMs send and call for in a minute with a change every 0.7 s.
func BenchmarkVMs(b *testing.B) {
	for _, n := range []int{8, 90, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				l := newLab(&testing.T{}, n)
				l.changing(10 * time.Second)
				l.calls, l.slowest = 0, 0
				clear(l.sent)
				l.changing(20 * time.Second)
				most, total := 0, 0
				for _, sent := range l.sent {
					most, total = max(most, sent), total+sent
				}
				b.ReportMetric(float64(l.calls)/20, "calls/s")
				b.ReportMetric(float64(most*datagram)/20, "B/s-busiest")
				b.ReportMetric(float64(total*datagram)/20/float64(n), "B/s-mean")
				b.ReportMetric(l.slowest.Seconds(), "s-slowest")
			}
		})
	}
}
