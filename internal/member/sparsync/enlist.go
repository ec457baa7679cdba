package sparsync

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// enlistEvery is how often a seed lists those that have asked it: often enough for
	// them to be told of changes soon, and seldom enough for many to share a write.
	enlistEvery = time.Second
	// enlistAgain is how long a VM is given to appear in the settings once it was listed:
	// a write, and the next reading.
	enlistAgain = 5 * time.Second
)

// enlist asks to list VMs that the settings lack. A VM that starts asks every seed, so the
// seeds know it; each lists a share of them, by name.
func (s *Sync) enlist(now time.Duration) []Output {
	if !s.Synced() || s.failing || s.start.among == 0 || now-max(s.enlistedAt, s.start.began) < enlistEvery {
		return nil
	}
	s.enlistedAt = now
	var vms []sparconfig.VM
	for name, p := range s.peers {
		mine := int(sparrank.Name(name)%uint64(s.start.among)) == s.start.place
		if !mine || p.known || !p.alive(now) || p.vm.Check() != nil || p.enlisted > 0 && now-p.enlisted < enlistAgain {
			continue
		}
		p.enlisted = now
		vms = append(vms, p.vm)
	}
	if len(vms) == 0 {
		return nil
	}
	slices.SortFunc(vms, func(a, b sparconfig.VM) int { return cmp.Compare(a.Name, b.Name) })
	return []Output{Enlist{VMs: vms}}
}
