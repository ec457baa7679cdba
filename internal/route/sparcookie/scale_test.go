package sparcookie_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// flowBytes is the memory limit of a flow on record: the 32,000 flows of a VM may take a
// twentieth of its 256 MB.
const flowBytes = 400

// fleet returns a fixture with the given numbers of upstreams and routes.
func fleet(upstreams, routes int) *fixture {
	f := &fixture{t: &testing.T{}, engine: sparcookie.New("vm-1", "domain-0", 1<<20), now: time.Second}
	for n := range upstreams {
		services := routes/2 + 1
		u := newUpstream(uint64(n+1), fmt.Sprintf("domain-%d", n/services%11))
		u.Service = fmt.Sprintf("service-%d", n%services)
		f.upstreams = append(f.upstreams, u)
	}
	for n := range routes {
		f.routes = append(f.routes, sparroster.Route{
			Address: sparflow.MakeEndpoint(0xc6120000+uint32(n), 443),
			Targets: []sparroster.Target{{Service: fmt.Sprintf("service-%d", n%(routes/2+1)), Weight: 1}},
		})
	}
	f.apply()
	return f
}

func TestFlowMemory(t *testing.T) {
	const flows = 30_000
	f := newFixture(t)
	f.engine = sparcookie.New("vm-1", "north", flows)
	f.apply()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range flows {
		c := f.newClient(bookingAddr)
		c.open()
		c.ackHandshake()
		f.now -= rtt // all at the same time, so that none expires
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	got := (after.HeapAlloc - before.HeapAlloc) / flows
	t.Logf("%d bytes a flow", got)
	if got > flowBytes {
		t.Errorf("%d bytes a flow, want at most %d", got, flowBytes)
	}
	runtime.KeepAlive(f)
}

// BenchmarkApply applies settings of several sizes, up to those of a whole deployment.
func BenchmarkApply(b *testing.B) {
	for _, size := range []struct{ upstreams, routes int }{{18, 115}, {150, 245}, {7800, 1300}} {
		b.Run(fmt.Sprintf("%d upstreams, %d routes", size.upstreams, size.routes), func(b *testing.B) {
			f := fleet(size.upstreams, size.routes)
			roster := f.engine.Roster()
			b.ReportAllocs()
			for b.Loop() {
				f.engine.Apply(roster)
			}
		})
	}
}

// BenchmarkOpen opens flows at a service with 6 upstreams, and at one with 709.
func BenchmarkOpen(b *testing.B) {
	for _, size := range []struct{ upstreams, routes int }{{12, 2}, {7800, 20}} {
		b.Run(fmt.Sprintf("%d of a service", size.upstreams/(size.routes/2+1)), func(b *testing.B) {
			f := fleet(size.upstreams, size.routes)
			to := sparflow.MakeEndpoint(0xc6120000, 443)
			b.ReportAllocs()
			for b.Loop() {
				c := f.newClient(to)
				c.open()
				c.s.Kind = sparcookie.RST
				f.forward(c.s)
			}
		})
	}
}
