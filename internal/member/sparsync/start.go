package sparsync

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// listenFor is how long a VM that starts listens for a seed before it reads the
	// platform: there and back across regions, and a busy seed's turn.
	listenFor = 80 * time.Millisecond
	// startPatience is how long it leaves the platform to others at most, as long as they
	// answer: a large fleet on slow links is ready by then.
	startPatience = 5 * time.Second
	// startSpread is the time over which VMs read the platform whose peers fell silent.
	startSpread = 750 * time.Millisecond
	// silentAfter is how long ago a peer must have answered to be waited for: some questions,
	// of which one may be lost.
	silentAfter = 3 * askEvery
	// readPatience is how long more of a first reading is waited for before peers are asked
	// for everything: many times the usual answer of the platform.
	readPatience = 300 * time.Millisecond
	// maxWaiting is the number of peers that are told as soon as a VM that starts knows
	// settings. Others ask again.
	maxWaiting = 2 * fanOut
)

// start is what a VM knows while it has no settings. Seeds read the platform at once, the
// others get settings from peers: a fleet that starts at once would share the platform's
// link.
type start struct {
	seed     bool            // others ask this VM
	began    time.Duration   // of the first tick
	answered time.Duration   // when a peer said last that it is up
	outdated bool            // a peer holds settings that are old
	waiting  []sparconfig.VM // peers that asked in vain
}

// Seeds takes the control addresses to ask while no VM is known. A VM that is one of
// them, or is told of none, reads the platform at its start.
func (s *Sync) Seeds(controls []string) {
	s.seeds = nil
	for _, control := range controls {
		if control != s.self.Control {
			s.seeds = append(s.seeds, &peer{vm: sparconfig.VM{Control: control}})
		}
	}
	s.start.seed = len(controls) == 0 || slices.Contains(controls, s.self.Control)
}

// startDue reports whether a VM without settings is to read the platform now. Where peers
// were up, it waits a time of its own, so that not all read at once.
func (s *Sync) startDue(now time.Duration) bool {
	waited := now - s.start.began
	switch {
	case s.start.seed || s.failing:
		return true
	case s.pullsStill(now):
		return false
	case s.start.outdated:
		return true
	case s.start.answered == 0:
		return waited >= listenFor
	case now-s.start.answered < silentAfter:
		return waited >= startPatience+s.spread(startSpread)
	}
	return now-s.start.answered >= silentAfter+s.spread(startSpread)
}

// spread returns a part of d that differs from VM to VM.
func (s *Sync) spread(d time.Duration) time.Duration {
	const steps = 1 << 10
	return d * time.Duration(sparrank.Name(s.self.Name)%steps) / steps
}

// greet asks all seeds at once.
func (s *Sync) greet(now time.Duration) []Output {
	var outs []Output
	for _, seed := range s.seeds {
		outs = append(outs, s.enquire(seed.vm, now))
	}
	return outs
}

// wait keeps a peer that asked while this VM reads its first settings, and lets it know.
func (s *Sync) wait(vm sparconfig.VM) []Output {
	if !s.busy {
		return nil
	}
	same := func(other sparconfig.VM) bool { return other.Name == vm.Name }
	if len(s.start.waiting) < maxWaiting && !slices.ContainsFunc(s.start.waiting, same) {
		s.start.waiting = append(s.start.waiting, vm)
	}
	return []Output{Confirm{To: vm}}
}

// release tells those that have waited for this VM's first settings.
func (s *Sync) release(now time.Duration) []Output {
	if !s.Synced() {
		return nil
	}
	var outs []Output
	for _, vm := range s.start.waiting {
		outs = append(outs, Notify{To: vm, Notice: s.notice(now)})
	}
	s.start.waiting = nil
	return outs
}
