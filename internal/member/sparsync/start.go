package sparsync

import (
	"math/bits"
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// listenFor is how long a VM that starts listens for a seed before it asks the platform
	// who else there is: there and back within a region, and a seed's turn.
	listenFor = 15 * time.Millisecond
	// startReaders is the number of VMs that read at once where no seed answers: as many
	// as the platform's link serves at the speed of theirs. The others of a larger fleet hear
	// from them, or twice as many read a turn later.
	startReaders = 32
	// startTurn is a whole reading on a slow link, and its way to peers.
	startTurn = 400 * time.Millisecond
	// firstStart is how long a VM that is not listed yet waits for seeds: the time within
	// which the VMs of a new site start.
	firstStart = 600 * time.Millisecond
	// startPatience is how long it leaves the platform to others at most, as long as they
	// answer: a large fleet on slow links is ready by then.
	startPatience = 5 * time.Second
	// startSpread is the time over which VMs read the platform whose peers fell silent.
	startSpread = 750 * time.Millisecond
	// silentAfter is how long ago a peer must have answered to be waited for: some questions,
	// of which one may be lost.
	silentAfter = 3 * askEvery
	// readPatience is how long a first reading is waited for before settings are taken from
	// a peer as well: on a site where few start it is over by then.
	readPatience = 150 * time.Millisecond
	// maxWaiting is the number of peers that are told as soon as a VM that starts knows
	// settings. Others ask again.
	maxWaiting = 2 * fanOut
)

// start is what a VM knows while it has no settings. Seeds read the platform at once, the
// others get settings from peers: a fleet that starts at once would share the platform's
// link.
type start struct {
	seed     bool          // others ask this VM
	place    int           // among the seeds
	among    int           // number of seeds, 0 for a VM that is none
	began    time.Duration // of the first tick
	answered time.Duration // when a peer said last that it is up
	peek     peek
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
	s.start.place = slices.Index(controls, s.self.Control)
	s.start.among = 0
	if s.start.place >= 0 {
		s.start.among = len(controls)
	}
	s.start.seed = len(controls) == 0 || s.start.place >= 0
}

// peek is the call by which a VM that hears of no other one learns who else there is.
type peek struct {
	done   bool
	listed bool          // the platform lists this VM, which has restarted
	at     time.Duration // when it was made, then when it ended
}

// startDue reports whether a VM without settings is to read the platform now. Where peers
// were up, it waits a time of its own, so that not all read at once.
func (s *Sync) startDue(now time.Duration) bool {
	switch {
	case s.start.seed || s.failing:
		return true
	case s.pullsStill(now):
		return false
	case s.start.outdated:
		return true
	case s.start.answered == 0:
		return s.turnDue(now)
	case now-s.start.answered < silentAfter:
		return now-s.start.began >= startPatience+s.spread(startSpread)
	}
	return now-s.start.answered >= silentAfter+s.spread(startSpread)
}

// turnDue reports whether it is the turn of this VM to read, where no seed has answered.
func (s *Sync) turnDue(now time.Duration) bool {
	if !s.start.peek.done {
		return false
	}
	switch others := len(s.peers); {
	case !s.start.peek.listed:
		return now-s.start.began >= firstStart
	case others < startReaders:
		return true
	}
	return now-s.start.peek.at >= startTurn*time.Duration(bits.Len(uint(s.rank()/startReaders)))
}

// peekDue reports whether a VM whose seeds do not answer is to learn who else there is.
func (s *Sync) peekDue(now time.Duration) bool {
	return !s.Synced() && !s.start.seed && s.start.answered == 0 && !s.pullsStill(now) &&
		s.start.peek.at == 0 && now-s.start.began >= listenFor
}

// Peeked takes the VMs that the platform lists. One of those that read first is asked.
func (s *Sync) Peeked(vms []sparconfig.VM, now time.Duration) []Output {
	same := func(vm sparconfig.VM) bool { return vm.Name == s.self.Name }
	s.start.peek = peek{done: true, listed: slices.ContainsFunc(vms, same), at: now}
	if s.Synced() {
		return nil // the settings name them too
	}
	s.List(vms, now)
	names := s.names(0)
	first := s.peers[names[s.rank()%min(startReaders, len(names))]]
	if first == nil {
		return nil
	}
	return []Output{s.enquire(first.vm, now)}
}

// PeekFailed takes the failure of that call. The platform is then tried as after a reading
// that failed.
func (s *Sync) PeekFailed(now time.Duration) []Output {
	s.start.peek.done = true
	return s.ReadFailed(now)
}

// spread returns a part of d that differs from VM to VM.
func (s *Sync) spread(d time.Duration) time.Duration {
	const steps = 1 << 10
	return d * time.Duration(sparrank.Name(s.self.Name)%steps) / steps
}

// askSeeds asks all seeds at once.
func (s *Sync) askSeeds(now time.Duration) []Output {
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
