package sparcookie_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

var siteDomains = []string{"north", "south", "west"}

// disturb does one thing to the site.
func (s *warmSite) disturb() {
	vm := s.vms[s.rng.IntN(len(s.vms))]
	for_ := func(most time.Duration) time.Duration { return s.now + time.Duration(s.rng.Int64N(int64(most))) }
	switch s.rng.IntN(14) {
	case 0: // a VM joins
		s.addVM(siteDomains[s.rng.IntN(3)])
	case 1: // its entry goes, although it runs; it comes back at once or later
		vm.silentUntil = for_(6 * time.Second)
		s.put(sparroster.VMPrefix+vm.name, nil)
	case 2: // it restarts under its name, with settings of before or none
		s.start(vm)
	case 3:
		vm.pausedUntil = for_(400 * time.Millisecond)
	case 4:
		vm.pausedUntil = for_(5 * time.Second)
	case 5, 6:
		vm.cutUntil = for_(5 * time.Second)
	case 7, 8:
		vm.slowUntil = for_(8 * time.Second)
	case 9: // it dies, its entry stays
		vm.dead = len(s.vms) > 4
	case 10: // it moves to another failure domain
		vm.domain = siteDomains[s.rng.IntN(3)]
		s.start(vm)
		s.list(vm)
	case 11:
		s.down = for_(3 * time.Second)
	case 12:
		s.restore()
	case 13:
		s.setRate([]float64{0.3, 2, 5, 9, 20}[s.rng.IntN(5)])
	}
}

// restore takes the store back to an older copy, in a new era. Upstreams list themselves again; the
// routing stays, since VMs keep the latest one.
func (s *warmSite) restore() {
	i := len(s.history) - 1
	for from := s.now - time.Duration(s.rng.IntN(2000))*time.Millisecond; i > 0 && s.history[i].at > from; {
		i--
	}
	old := s.history[i].roster
	kept := s.facts
	s.era++
	s.rev -= min(s.rev, uint64(s.rng.IntN(10)))
	s.facts = map[string]sparroster.Fact{sparroster.RoutingKey: kept[sparroster.RoutingKey]}
	for _, vm := range old.VMs {
		s.facts[sparroster.VMPrefix+vm.Name] = sparroster.VM{VM: vm}
	}
	for _, u := range old.Upstreams {
		s.facts[fmt.Sprint(sparroster.UpstreamPrefix, u.ID)] = u
	}
	for key := range s.facts {
		s.at[key] = sparregistry.Position{Era: s.era, Revision: min(s.at[key].Revision, s.rev)}
	}
	s.publish()
	s.after(200*time.Millisecond, func() {
		for key, fact := range kept {
			if u, ok := fact.(sparroster.Upstream); ok && s.facts[key] == nil {
				s.put(key, u)
			}
		}
	})
}

// TestWarmLimitHolds plays VMs that join, leave, restart, die, are paused, cut off from the store or
// late in their settings, or have other limits in their settings files, and a store that is down or
// restored, under a load far above the limits: no upstream that warms up gets more than its limit in
// any second. An upstream that restarts under its ID is not played, see docs/design/warmup.md.
func TestWarmLimitHolds(t *testing.T) {
	reached := 0
	for seed := range uint64(warmSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			limits := [][]sparconfig.WarmLimit{
				{{Overage: 1.5, Slack: 5}}, {{Overage: 1}}, {{Overage: 0.5, Slack: 2}}, {{Overage: 2, Slack: 0.5}},
				{{Overage: 1, Slack: 1}, {Overage: 1.5, Slack: 5}}, // settings files that differ
			}[seed%5]
			limit := limits[len(limits)-1]
			s := newWarmSite(t, seed, 5, limits...)
			for i := range 3 + s.rng.IntN(9) {
				s.addVM(siteDomains[i%3])
			}
			for i := range 3 {
				s.startUpstream(siteDomains[i], 0)
			}
			load := siteLoad{perSecond: 400, work: 20 * time.Millisecond, requests: 1 + s.rng.IntN(3), lost: 0.02, wander: 0.1}
			s.run(siteWait, load)
			for range 40 {
				if s.rng.IntN(3) == 0 {
					s.startUpstream(siteDomains[s.rng.IntN(3)], time.Duration(2000+s.rng.IntN(6000))*time.Millisecond)
				}
				if s.rng.IntN(2) == 0 {
					s.disturb()
				}
				s.vms = slices.DeleteFunc(s.vms, func(vm *siteVM) bool { return vm.dead && len(s.vms) > 12 })
				s.run(time.Duration(s.rng.IntN(800))*time.Millisecond, load)
			}
			if most := s.checkLimits(); float64(most) >= limit.Overage*5 {
				reached++
			}
		})
	}
	if reached < warmSeeds/4 {
		t.Errorf("upstreams were used up to about their limit in %d of %d runs: the test shows little", reached, warmSeeds)
	}
}

const warmSeeds = 60
