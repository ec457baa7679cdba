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
	// aliveFor is how long a peer counts as reachable after its last message.
	aliveFor = 6 * time.Second
	// maxOrders is the number of orderings kept by Sync.names: one for precedence, and one
	// for each VM that has read recently.
	maxOrders = 8
)

// peer is another VM.
type peer struct {
	vm              sparconfig.VM
	lastSeen        time.Duration // earliest time at which its last message can have been sent
	echo            Timestamp     // Sent of its last datagram
	echoAt          time.Duration // when that was received
	verifiedAt      time.Duration // last query to it about a notification of unknown age
	registered      bool          // at the platform; otherwise only its messages were received
	unanswered      int           // notifications sent since lastSeen
	unansweredSince time.Duration // first unanswered notification, or last Deregister of the peer
	requestedAt     time.Duration // last Register of the peer
}

// alive reports whether the peer counts as reachable.
func (p *peer) alive(now time.Duration) bool { return p.lastSeen > 0 && now-p.lastSeen < aliveFor }

// List sets the VMs that are registered in the settings. Other peers are deleted once
// they are no longer reachable.
func (s *Sync) List(vms []sparconfig.VM, now time.Duration) {
	for _, p := range s.peers {
		p.registered = false
	}
	for _, vm := range vms {
		if vm.Name == s.self.Name {
			continue
		}
		p := s.peer(vm)
		p.vm, p.registered = vm, true
	}
	for name, p := range s.peers {
		if !p.registered && now-p.lastSeen > aliveFor {
			delete(s.peers, name)
			clear(s.orders)
		}
	}
}

// markAlive records a message that a peer sent at the time sent.
func (s *Sync) markAlive(vm sparconfig.VM, sent time.Duration) {
	if vm.Name == "" || vm.Name == s.self.Name {
		return
	}
	p := s.peer(vm)
	if vm.Control != "" {
		p.vm = vm
	}
	p.lastSeen, p.unanswered = max(p.lastSeen, sent), 0
}

// names returns the names of this VM and its peers by descending rendezvous weight for
// slot. Slot 0 gives the order of precedence, by which VMs read the platform. The result
// is cached until the set of peers changes and must not be modified.
func (s *Sync) names(slot int) []string {
	if names := s.orders[slot]; names != nil {
		return names
	}
	type ranked struct {
		name   string
		weight uint64
	}
	list := []ranked{{s.self.Name, sparrank.Weight(slot, sparrank.Hash(s.self.Name))}}
	for name := range s.peers {
		list = append(list, ranked{name, sparrank.Weight(slot, sparrank.Hash(name))})
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

// peer returns the peer with the name of vm, and adds it if there is none.
func (s *Sync) peer(vm sparconfig.VM) *peer {
	p := s.peers[vm.Name]
	if p == nil {
		p = &peer{vm: vm}
		s.peers[vm.Name] = p
		clear(s.orders)
	}
	return p
}
