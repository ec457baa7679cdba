package sparprobe

import (
	"cmp"
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

// pick returns the VMs to ask about an upstream of a failure domain: up to nearShare of those to ask
// are of that domain, the others are of each other domain in turn. Each VM has an order of its
// own, the same for all upstreams of a domain, so that one datagram can ask about several.
func (a *Asker) pick(domain string) (list []VM) {
	if list, ok := a.picked[domain]; ok {
		return list
	}
	var near, far []VM
	for _, vm := range a.vms { // in rendezvous order
		if vm.Domain == domain {
			near = append(near, vm)
		} else {
			far = append(far, vm)
		}
	}
	far = inTurn(far)
	first := min(len(near), max(1, int(nearShare*float64(a.most)), a.most-len(far)), a.most)
	list = append(near[:first:first], far[:min(len(far), a.most-first)]...)
	a.picked[domain] = list
	return list
}

// inTurn orders VMs so that their failure domains take turns.
func inTurn(vms []VM) []VM {
	turn, seen := map[string]int{}, map[string]int{}
	for _, vm := range vms {
		turn[vm.Name] = seen[vm.Domain]
		seen[vm.Domain]++
	}
	slices.SortStableFunc(vms, func(a, b VM) int { return cmp.Compare(turn[a.Name], turn[b.Name]) })
	return vms
}

// ranked returns the VMs other than self in the rendezvous order of self.
func ranked(self string, vms []VM) (list []VM) {
	slot := int(uint32(sparrank.Hash(self)))
	for _, vm := range vms {
		if vm.Name != self {
			list = append(list, vm)
		}
	}
	slices.SortFunc(list, func(a, b VM) int {
		return cmp.Compare(sparrank.Weight(slot, sparrank.Hash(b.Name)), sparrank.Weight(slot, sparrank.Hash(a.Name)))
	})
	return list
}
