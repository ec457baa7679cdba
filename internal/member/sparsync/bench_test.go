package sparsync_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkVMs reports the calls and the traffic of VMs with a change every 0.7 s.
func BenchmarkVMs(b *testing.B) {
	for _, n := range []int{8, 90, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s := newSim(&testing.T{}, n)
				s.churn(10 * time.Second)
				s.calls, s.slowest = 0, 0
				clear(s.sent)
				s.churn(20 * time.Second)
				most, total := 0, 0
				for _, sent := range s.sent {
					most, total = max(most, sent), total+sent
				}
				b.ReportMetric(float64(s.calls)/20, "calls/s")
				b.ReportMetric(float64(most*datagram)/20, "B/s-busiest")
				b.ReportMetric(float64(total*datagram)/20/float64(n), "B/s-mean")
				b.ReportMetric(s.slowest.Seconds(), "s-slowest")
			}
		})
	}
}
