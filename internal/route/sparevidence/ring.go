package sparevidence

import (
	"cmp"
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// MaxPeers is the largest number of VMs of its failure domain that a VM reports to.
	MaxPeers = 16
	// loadPeers is the number of VMs in each other failure domain that are told the load.
	loadPeers = 2
)

// Peers returns the VMs that this VM reports to: the next ones of its failure domain in the order
// of their hashes. So each VM hears as many as it tells. With load it also returns VMs of the
// other failure domains.
func (b *Board) Peers(load bool) (names []string) {
	own := b.vms[b.self].Domain
	for _, domain := range b.domains() {
		switch {
		case domain == own:
			names = append(names, b.next(domain, MaxPeers)...)
		case load:
			names = append(names, b.next(domain, loadPeers)...)
		}
	}
	return names
}

// domains returns the failure domains of the VMs, in order.
func (b *Board) domains() (list []string) {
	for domain := range b.domainVMs {
		list = append(list, domain)
	}
	slices.Sort(list)
	return list
}

// next returns up to n VMs of a failure domain that follow this VM in the order of the hashes of
// their names.
func (b *Board) next(domain string, n int) (names []string) {
	for _, vm := range b.vms {
		if vm.Domain == domain && vm.Name != b.self {
			names = append(names, vm.Name)
		}
	}
	self := sparrank.Hash(b.self)
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Compare(sparrank.Hash(x)-self, sparrank.Hash(y)-self) // the distance around the ring
	})
	return names[:min(len(names), n)]
}

// peerCount returns the number of VMs that this VM reports to now.
func (b *Board) peerCount() (n int) {
	n = b.expected()
	if !b.pressed {
		return n
	}
	for domain, vms := range b.domainVMs {
		if domain != b.vms[b.self].Domain {
			n += min(vms, loadPeers)
		}
	}
	return n
}

// expected returns the number of VMs that report to this one while they have something to say.
func (b *Board) expected() int {
	return min(b.domainVMs[b.vms[b.self].Domain]-1, MaxPeers)
}
