package sparsync

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// aliveFor is how long a peer counts as reachable after its last message.
const aliveFor = 6 * time.Second

// peer is another VM.
type peer struct {
	vm              sparconfig.VM
	standing        standing      // as listed, or of its last message if it is not registered
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
			s.rankAs(&s.standing, vm)
			continue
		}
		p := s.peer(vm)
		p.vm, p.registered = vm, true
		s.rankAs(&p.standing, vm)
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
		if !p.registered {
			s.rankAs(&p.standing, vm)
		}
	}
	p.lastSeen, p.unanswered = max(p.lastSeen, sent), 0
}

// peer returns the peer with the name of vm, and adds it if there is none.
func (s *Sync) peer(vm sparconfig.VM) *peer {
	p := s.peers[vm.Name]
	if p == nil {
		p = &peer{vm: vm, standing: standingOf(vm)}
		s.peers[vm.Name] = p
		clear(s.orders)
	}
	return p
}
