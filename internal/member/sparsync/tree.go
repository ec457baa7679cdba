package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
)

const (
	// fanOut is the number of VMs that one VM tells. 1,400 VMs are six steps away
	// at most, and a notice of about 120 bytes keeps each far below 1 KB/s.
	fanOut = 4
	// deadAfter is the number of notices without an answer after which those below
	// a VM in the tree are told in its place.
	deadAfter = 3
	// unlistAfter is how long a VM must have left notices unanswered before its entry is
	// taken out: longer than a restart, a suspension, and a region's usual cut.
	unlistAfter = 10 * time.Minute
)

// tell passes the latest round of the reader on to the VMs below this one, once.
func (s *Sync) tell(now time.Duration) []Output {
	if s.source.round == 0 || s.source == s.relayed || s.wanted.reader != "" {
		return nil
	}
	s.relayed = s.source
	notice := s.notice(now)
	var outs []Output
	order := s.order()
	for _, name := range s.below(order, slices.Index(order, s.self.Name)) {
		p := s.peers[name]
		p.open++
		if p.open == 1 {
			p.unheard = now
		}
		outs = append(outs, Notify{To: p.vm, Notice: notice})
		if p.open >= deadAfter && now-p.unheard >= unlistAfter && s.connected(now) {
			p.unheard = now // again after as long, should it fail
			outs = append(outs, Unlist{Name: name})
		}
	}
	return outs
}

// connected reports whether any other VM was heard lately. A VM that hears nobody is cut
// off itself, and its silence says nothing about the others.
func (s *Sync) connected(now time.Duration) bool {
	for _, p := range s.peers {
		if p.alive(now) {
			return true
		}
	}
	return false
}

// notice says how recent the settings here are.
func (s *Sync) notice(now time.Duration) Notice {
	return Notice{
		From: s.self, Reader: s.source.reader, Round: s.source.round,
		Revision: s.held.Revision, Digest: s.held.Digest, Age: s.Age(now),
	}
}

// order returns the VMs in the order of the tree, its root first. It follows from the
// reader and the list of VMs, so VMs with the same list agree on it.
func (s *Sync) order() []string {
	reader := s.source.reader
	order := []string{reader}
	for _, name := range s.names(int(sparrank.Name(reader) >> 33)) {
		if name != reader && (name == s.self.Name || s.peers[name].known) {
			order = append(order, name)
		}
	}
	return order
}

// below returns those that the VM at a position tells: its children, and the
// children of those that do not answer.
func (s *Sync) below(order []string, at int) []string {
	var names []string
	for child := at*fanOut + 1; child <= at*fanOut+fanOut && child < len(order); child++ {
		p := s.peers[order[child]]
		if p == nil {
			continue
		}
		names = append(names, order[child])
		if p.open >= deadAfter {
			names = append(names, s.below(order, child)...)
		}
	}
	return names
}
