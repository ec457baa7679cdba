package sparprobe_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// BenchmarkRound is a round about one upstream among 1,400 VMs: the questions, 12 answers and the verdict.
func BenchmarkRound(b *testing.B) {
	var vms []sparprobe.VM
	for n := range 1400 {
		vms = append(vms, sparprobe.VM{Name: fmt.Sprint("vm-", n), Domain: fmt.Sprint("domain-", n%11)})
	}
	a := sparprobe.NewAsker(vms[0], 1, 12)
	a.SetVMs(vms)
	u := sparprobe.Upstream{ID: 1, Domain: "domain-1"}
	look := func(uint64) (sparprobe.Upstream, bool) { return u, true }
	now := time.Minute
	for b.Loop() {
		now += time.Second
		var c sparprobe.Connections
		questions := a.Begin(now, []sparprobe.Suspect{{Upstream: u, Since: now}})
		a.Wanted(now, &c)
		c.Done(now, u.Mark(), false)
		for _, q := range questions {
			_ = a.Receive(now, sparprobe.Answer{From: q.To, Run: q.Run, Round: q.Round, Silent: q.Marks})
		}
		if list := a.Evaluate(now, &c, look); len(list) == 0 || list[0].Asked != 12 {
			b.Fatalf("%+v", list)
		}
	}
}

// BenchmarkCalm is a tick without anything to do.
func BenchmarkCalm(b *testing.B) {
	f := newFleet(&testing.T{}, 24, 3)
	for b.Loop() {
		f.vms[0].tick()
	}
}
