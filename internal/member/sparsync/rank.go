package sparsync

import (
	"cmp"
	"slices"
	"strings"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// precedence is the slot of the order in which VMs read the platform.
	precedence = 0
	// domainGroup is the number of VMs of a failure domain that come before those of others in
	// the order of precedence. With it firstReaders are of four domains, or of all.
	domainGroup = firstReaders / 4
	// maxOrders is the number of orderings kept by Sync.names: one for precedence, and one
	// for each VM that has read recently.
	maxOrders = 8
)

type (
	// standing is what a VM is ranked by.
	standing struct {
		class  int // capacity class, 0 for unknown, which ranks last
		domain string
	}

	// candidate is a VM in an order.
	candidate struct {
		standing
		name   string
		weight uint64
	}
)

func standingOf(vm sparconfig.VM) standing { return standing{class: vm.Class(), domain: vm.Domain} }

// rankAs sets what a VM is ranked by to that of vm.
func (s *Sync) rankAs(held *standing, vm sparconfig.VM) {
	if now := standingOf(vm); now != *held {
		*held = now
		clear(s.orders)
	}
}

// names returns the names of this VM and its peers by descending class, then by descending
// rendezvous weight for slot. The slot precedence gives the order by which VMs read the
// platform. The result is cached until the peers or their classes change and must not be
// modified.
func (s *Sync) names(slot int) []string {
	if names := s.orders[slot]; names != nil {
		return names
	}
	list := []candidate{newCandidate(slot, s.self.Name, s.standing)}
	for name, p := range s.peers {
		list = append(list, newCandidate(slot, name, p.standing))
	}
	slices.SortFunc(list, candidate.compare)
	if slot == precedence && list[0].class != list[len(list)-1].class {
		list = mixDomains(list)
	}
	names := make([]string, 0, len(list))
	for _, c := range list {
		names = append(names, c.name)
	}
	if len(s.orders) >= maxOrders {
		clear(s.orders)
	}
	s.orders[slot] = names
	return names
}

func newCandidate(slot int, name string, of standing) candidate {
	return candidate{standing: of, name: name, weight: sparrank.Weight(slot, sparrank.Hash(name))}
}

// compare orders candidates by descending class, then by descending weight.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(other.class, c.class), cmp.Compare(other.weight, c.weight), strings.Compare(c.name, other.name),
	)
}

// mixDomains returns an ordered list with the first domainGroup VMs of each failure domain before
// the next ones of each, so that the first VMs can't all be of the domain that has the large ones.
func mixDomains(list []candidate) []candidate {
	var groups [][]candidate
	seen := map[string]int{}
	for _, c := range list {
		group := seen[c.domain] / domainGroup
		seen[c.domain]++
		if group == len(groups) {
			groups = append(groups, nil)
		}
		groups[group] = append(groups[group], c)
	}
	return slices.Concat(groups...)
}
