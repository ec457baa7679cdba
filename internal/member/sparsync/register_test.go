package sparsync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// TestSeedsRegisterVMs plays the first start of a fleet, in which 300 VMs query all three
// seeds. Each VM must be registered once, by one seed, and a registered one not again.
func TestSeedsRegisterVMs(t *testing.T) {
	var seeds []sparconfig.VM
	var controls []string
	for i := range 3 {
		vm := sparconfig.VM{Name: fmt.Sprintf("seed-%d", i), Data: "10.0.0.1:1", Control: fmt.Sprintf("10.0.0.%d:2", i)}
		seeds, controls = append(seeds, vm), append(controls, vm.Control)
	}
	registered := map[string]int{}
	writes := 0
	for _, seed := range seeds {
		s := sparsync.New(seed, run, bound, beat)
		s.Seeds(controls)
		now := time.Millisecond
		s.Tick(now)
		s.ReadDone(now, sparsync.Held{At: at(1), Digest: 1}, smallSettings, now)
		s.List([]sparconfig.VM{{Name: "vm-7", Data: "10.1.0.1:1", Control: "10.1.0.7:2"}}, now)
		for i := range 300 {
			vm := sparconfig.VM{Name: fmt.Sprintf("vm-%d", i), Data: "10.1.0.1:1", Control: fmt.Sprintf("10.1.%d.%d:2", i/250, i%250+1)}
			s.Queried(sparsync.Query{From: vm}, now)
		}
		for range 60 {
			now += 50 * time.Millisecond
			for _, out := range s.Tick(now) {
				if r, ok := out.(sparsync.Register); ok {
					writes++
					for _, vm := range r.VMs {
						registered[vm.Name]++
					}
				}
			}
		}
	}
	for i := range 300 {
		name := fmt.Sprintf("vm-%d", i)
		if want := 1; name != "vm-7" && registered[name] != want || name == "vm-7" && registered[name] > 0 {
			t.Errorf("%s was registered %d times", name, registered[name])
		}
	}
	if writes != len(seeds) {
		t.Errorf("%d writes, want one of each seed", writes)
	}
}
