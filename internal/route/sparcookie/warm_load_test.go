package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// quotaShare runs a site of 12 VMs in 3 failure domains, each with 4 upstreams that are warm and one
// that warms up, under a load of 6 times what those that warm up may take. It returns the share
// of their quota that was used while they warmed up, once they were listed.
func quotaShare(t *testing.T, seed uint64, fail func(s *warmSite)) float64 {
	const warm, listed = 10 * time.Second, time.Second
	s := newWarmSite(t, seed, 10, sparconfig.WarmLimit{Overage: 1.5, Slack: 5})
	for i := range 12 {
		s.addVM(siteDomains[i%3])
	}
	for i := range 12 {
		s.startUpstream(siteDomains[i%3], 0)
	}
	load := siteLoad{perSecond: 360, work: 20 * time.Millisecond, requests: 1}
	s.run(siteWait, load)
	fail(s)
	for _, domain := range siteDomains {
		s.startUpstream(domain, warm)
	}
	from := s.now + listed
	s.run(warm, load)
	s.checkLimits()
	used := 0
	for _, w := range s.warm {
		for _, at := range w.openings {
			if at >= from {
				used++
			}
		}
	}
	return float64(used) / (3 * 20 * (warm - listed).Seconds())
}

// meanShare returns the mean of quotaShare over some runs.
func meanShare(t *testing.T, fail func(s *warmSite)) (mean float64) {
	const runs = 10
	for seed := range uint64(runs) {
		mean += quotaShare(t, seed, fail) / runs
	}
	return mean
}

// TestQuotaIsUsed checks that upstreams that warm up get openings under a steady load well above
// their quota: they must not be starved.
func TestQuotaIsUsed(t *testing.T) {
	got := meanShare(t, func(*warmSite) {})
	t.Logf("%.0f%% of the quota used", 100*got)
	if got < 0.6 {
		t.Errorf("%.0f%% of the quota used, want at least 60%%", 100*got)
	}
}

// TestQuotaIsUsedWithoutAThird kills a third of the VMs, whose entries stay, before upstreams
// start. The parts of those that are gone are not used.
func TestQuotaIsUsedWithoutAThird(t *testing.T) {
	got := meanShare(t, func(s *warmSite) {
		for killed := 0; killed < len(s.vms)/3; {
			if vm := s.vms[s.rng.IntN(len(s.vms))]; !vm.dead {
				vm.dead = true
				killed++
			}
		}
	})
	t.Logf("%.0f%% of the quota used", 100*got)
	if got <= 0.3 {
		t.Errorf("%.0f%% of the quota used, want more than 30%%", 100*got)
	}
}

// TestQuotaIsUsedWithoutADomain kills the VMs of one failure domain, a third of all, whose upstreams
// go on: the holders of their upstreams are gone, the others keep theirs.
func TestQuotaIsUsedWithoutADomain(t *testing.T) {
	got := meanShare(t, func(s *warmSite) {
		for _, vm := range s.vms {
			vm.dead = vm.domain == siteDomains[0]
		}
	})
	t.Logf("%.0f%% of the quota used", 100*got)
	if got <= 0.3 {
		t.Errorf("%.0f%% of the quota used, want more than 30%%", 100*got)
	}
}
