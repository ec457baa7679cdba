package sparsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// registerInterval is how often a seed registers the VMs that have queried it: short
	// enough that they are soon notified of changes, long enough that many share a write.
	registerInterval = time.Second
	// registerRetry is how long a registered VM is given to appear in the settings before it
	// is registered again: a write and the next read.
	registerRetry = 5 * time.Second
)

// register requests platform entries for VMs that the settings lack. A starting VM queries
// every seed, so that each seed has it on record; a hash of its name selects the one seed
// that registers it.
func (s *Sync) register(now time.Duration) []Output {
	if !s.Synced() || s.failing || s.start.seedCount == 0 || now-max(s.registeredAt, s.start.began) < registerInterval {
		return nil
	}
	s.registeredAt = now
	var vms []sparconfig.VM
	for name, p := range s.peers {
		mine := int(sparrank.Hash(name)%uint64(s.start.seedCount)) == s.start.index
		if !mine || p.registered || !p.alive(now) || p.vm.Check() != nil || p.requestedAt > 0 && now-p.requestedAt < registerRetry {
			continue
		}
		p.requestedAt = now
		vms = append(vms, p.vm)
	}
	if len(vms) == 0 {
		return nil
	}
	slices.SortFunc(vms, func(a, b sparconfig.VM) int { return cmp.Compare(a.Name, b.Name) })
	return []Output{Register{VMs: vms}}
}
