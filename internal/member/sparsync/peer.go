package sparsync

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// aliveFor is how long a peer counts as reachable after it was last heard.
	aliveFor = 6 * time.Second
	// maxOrders is the number of orders of names kept: one for takeovers, and one for
	// each VM that has read lately.
	maxOrders = 8
)

// peer is another VM.
type peer struct {
	vm       sparconfig.VM
	heard    time.Duration
	known    bool          // listed by the platform, otherwise only heard
	open     int           // notices sent since it was heard last
	unheard  time.Duration // the first of them, or the last time that it was to be unlisted
	enlisted time.Duration // when it was listed for it
}

// alive reports whether the peer was heard lately.
func (p *peer) alive(now time.Duration) bool { return p.heard > 0 && now-p.heard < aliveFor }

// List takes the VMs that the settings name. Others are forgotten once they are silent.
func (s *Sync) List(vms []sparconfig.VM, now time.Duration) {
	for _, p := range s.peers {
		p.known = false
	}
	for _, vm := range vms {
		if vm.Name == s.self.Name {
			continue
		}
		p := s.peer(vm)
		p.vm, p.known = vm, true
	}
	for name, p := range s.peers {
		if !p.known && now-p.heard > aliveFor {
			delete(s.peers, name)
			clear(s.orders)
		}
	}
}

// alive notes that a peer was heard.
func (s *Sync) alive(vm sparconfig.VM, now time.Duration) {
	if vm.Name == "" || vm.Name == s.self.Name {
		return
	}
	p := s.peer(vm)
	if vm.Control != "" {
		p.vm = vm
	}
	p.heard, p.open = now, 0
}

// names returns this VM and its peers, those with the highest weight for slot first.
// The order is kept until the peers change. It must not be written to.
func (s *Sync) names(slot int) []string {
	if names := s.orders[slot]; names != nil {
		return names
	}
	type ranked struct {
		name   string
		weight uint64
	}
	list := []ranked{{s.self.Name, sparrank.Weight(slot, sparrank.Name(s.self.Name))}}
	for name := range s.peers {
		list = append(list, ranked{name, sparrank.Weight(slot, sparrank.Name(name))})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.name, b.name))
	})
	names := make([]string, 0, len(list))
	for _, r := range list {
		names = append(names, r.name)
	}
	if len(s.orders) >= maxOrders {
		clear(s.orders)
	}
	s.orders[slot] = names
	return names
}

// peer returns the peer called name, new where it was unknown.
func (s *Sync) peer(vm sparconfig.VM) *peer {
	p := s.peers[vm.Name]
	if p == nil {
		p = &peer{vm: vm}
		s.peers[vm.Name] = p
		clear(s.orders)
	}
	return p
}
