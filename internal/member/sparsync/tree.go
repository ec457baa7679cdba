package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// fanOut is the number of children of a VM in the notification tree. 1,400 VMs are at
	// most six hops away, and with notifications of about 120 bytes each VM sends far
	// less than 1 KB/s.
	fanOut = 4
	// maxUnanswered is the number of unanswered notifications after which the children of
	// a VM are notified directly as well.
	maxUnanswered = 3
	// deregisterAfter is how long a VM must leave notifications unanswered before its
	// entry is removed: longer than a restart, a suspension or a usual regional partition.
	deregisterAfter = 10 * time.Minute
)

// forward notifies the VMs below this one in the tree of the latest round of the reader,
// once per round.
func (s *Sync) forward(now time.Duration) []Output {
	if s.source.round == 0 || s.source == s.forwarded || s.target.reader != "" {
		return nil
	}
	s.forwarded = s.source
	var outs []Output
	order := s.order()
	for _, name := range s.recipients(order, slices.Index(order, s.self.Name)) {
		p := s.peers[name]
		p.unanswered++
		if p.unanswered == 1 {
			p.unansweredSince = now
		}
		outs = append(outs, s.notify(p.vm, now))
		if p.unanswered >= maxUnanswered && now-p.unansweredSince >= deregisterAfter && s.connected(now) {
			p.unansweredSince = now // try again after deregisterAfter if the removal fails
			outs = append(outs, Deregister{Name: name})
		}
	}
	return outs
}

// connected reports whether any other VM is reachable. A VM that receives nothing is cut
// off itself, so unanswered notifications say nothing about the other VMs.
func (s *Sync) connected(now time.Duration) bool {
	for _, p := range s.peers {
		if p.alive(now) {
			return true
		}
	}
	return false
}

// notify returns a notification of the revision and age of the settings of this VM.
func (s *Sync) notify(to sparconfig.VM, now time.Duration) Notify {
	return Notify{To: to, Notification: Notification{
		From: s.self, Reader: s.source.reader, Round: s.source.round,
		At: s.held.At, Digest: s.held.Digest, Age: s.Age(now), Timing: s.timing(to.Name, now),
	}}
}

// order returns the VMs in the order of the tree, the reader first as its root. It depends
// only on the reader and the list of VMs, so VMs with the same list agree on it.
func (s *Sync) order() []string {
	reader := s.source.reader
	order := []string{reader}
	for _, name := range s.names(int(sparrank.Hash(reader) >> 33)) {
		if name != reader && (name == s.self.Name || s.peers[name].registered) {
			order = append(order, name)
		}
	}
	return order
}

// recipients returns the VMs that the VM at a position notifies: its children, and the
// recipients of each child that does not answer.
func (s *Sync) recipients(order []string, at int) []string {
	var names []string
	for child := at*fanOut + 1; child <= at*fanOut+fanOut && child < len(order); child++ {
		p := s.peers[order[child]]
		if p == nil {
			continue
		}
		names = append(names, order[child])
		if p.unanswered >= maxUnanswered {
			names = append(names, s.recipients(order, child)...)
		}
	}
	return names
}
