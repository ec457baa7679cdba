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
// that registers it, among the registrars.
func (s *Sync) register(now time.Duration) []Output {
	if !s.Synced() || s.failing || len(s.start.controls) == 0 || now-max(s.registeredAt, s.start.began) < registerInterval {
		return nil
	}
	s.registeredAt = now
	registrars := s.registrars()
	var vms []sparconfig.VM
	for name, p := range s.peers {
		mine := registrars[sparrank.Hash(name)%uint64(len(registrars))] == s.start.index
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

// registrars returns the indices of the seeds that register other VMs: those of the highest
// class, or all while the class of any is unknown.
func (s *Sync) registrars() []int {
	classes := s.seedClasses()
	highest := slices.Max(classes)
	if slices.Min(classes) == 0 {
		highest = 0
	}
	var list []int
	for i, class := range classes {
		if class >= highest {
			list = append(list, i)
		}
	}
	return list
}

// seedClasses returns the capacity class of each seed, 0 if it is unknown.
func (s *Sync) seedClasses() []int {
	classes := make([]int, len(s.start.controls))
	classes[s.start.index] = s.standing.class
	for _, p := range s.peers {
		if i := slices.Index(s.start.controls, p.vm.Control); i >= 0 {
			classes[i] = p.standing.class
		}
	}
	return classes
}
