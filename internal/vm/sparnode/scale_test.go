package sparnode_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
)

// BenchmarkVMs reports the cost of control traffic for one VM as the number of VMs, services
// and changes grows. docs/CAPACITY.md gives the resulting slopes.
func BenchmarkVMs(b *testing.B) {
	cases := []struct{ vms, services, changesPerMinute int }{
		{4, 1, 0}, {8, 1, 0}, {16, 1, 0}, {32, 1, 0},
		{8, 4, 0}, {8, 16, 0},
		{8, 4, 30}, {8, 4, 120},
	}
	for _, c := range cases {
		b.Run(fmt.Sprintf("vms=%d/services=%d/changes=%d", c.vms, c.services, c.changesPerMinute), func(b *testing.B) {
			for range b.N {
				measureVMs(b, c.vms, c.services, c.changesPerMinute)
			}
		})
	}
}

func measureVMs(b *testing.B, vms, services, changesPerMinute int) {
	const seconds = 20
	l := newLab(b, 1)
	heap := heapBytes()
	l.bootAll(vms)
	l.run(4 * time.Second)
	for s := range services {
		l.serve(fmt.Sprintf("service-%d", s+1), document(s+1, 6))
	}
	l.run(3 * time.Second)
	flows := l.open("service-1", 2000, 0)
	for _, vm := range l.vms {
		vm.bytes = 0
	}
	var spent time.Duration
	for i := range seconds {
		if changesPerMinute > 0 && i%max(1, 60/changesPerMinute) == 0 {
			for range max(1, changesPerMinute/60) {
				d := document(1+i%services, 6)
				d.Spread = 0.05 + float64(i)/1000
				l.serve(fmt.Sprintf("service-%d", 1+i%services), d)
			}
		}
		for range int(time.Second / sparnode.TickEvery) {
			began := time.Now()
			l.run(sparnode.TickEvery)
			spent += time.Since(began)
		}
	}
	bytes := 0
	for _, vm := range l.vms {
		bytes += vm.bytes
	}
	b.ReportMetric(float64(bytes)/float64(vms*seconds), "control-B/s")
	b.ReportMetric(100*spent.Seconds()/float64(vms*seconds), "%core")
	b.ReportMetric(float64(heapBytes()-heap)/float64(vms)/1024, "KiB/VM")
	runtime.KeepAlive(flows)
	runtime.KeepAlive(l)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
