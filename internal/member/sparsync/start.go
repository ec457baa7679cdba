package sparsync

import (
	"math/bits"
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// seedTimeout is how long a starting VM waits for a seed to reply before it reads the list
	// of VMs from the platform: a round trip within a region, and the seed's processing.
	seedTimeout = 15 * time.Millisecond
	// startReaders is the number of VMs that read at once if no seed replies: as many as the
	// platform's link can serve at the speed of their own links. The other VMs of a larger
	// fleet get settings from these, or read themselves: the number of VMs that may read
	// doubles with each startStep.
	startReaders = 32
	// startStep is the time of a full read on a slow link and of its spread to peers.
	startStep = 400 * time.Millisecond
	// newSiteWait is how long a VM that is not registered yet waits for seeds: the time
	// within which the VMs of a new site start.
	newSiteWait = 600 * time.Millisecond
	// startTimeout is how long a starting VM leaves reading to peers at most while they reply:
	// a large fleet on slow links is ready by then.
	startTimeout = 5 * time.Second
	// startJitter is the time over which reads are spread once peers have stopped replying
	// or startTimeout has passed.
	startJitter = 750 * time.Millisecond
	// silentAfter is the time without a reply after which a starting VM no longer waits for
	// peers: a few queries, since one may be lost.
	silentAfter = 3 * queryInterval
	// firstReadTimeout is how long the first read may take before settings are also pulled
	// from a peer. On a site where few VMs start, the read ends earlier.
	firstReadTimeout = 150 * time.Millisecond
	// maxWaiting is the number of peers that are notified as soon as a starting VM has
	// settings. Other peers query again.
	maxWaiting = 2 * fanOut
)

// start is the state of a VM until it has settings. Seeds read the platform at once and the
// other VMs get settings from peers, because the reads of a whole fleet at once would
// compete for the platform's link.
type start struct {
	seed      bool          // reads the platform at once
	index     int           // of this VM among the seeds, -1 if it is none
	controls  []string      // of the seeds, none if this VM is none
	began     time.Duration // time of the first Tick
	lastReply time.Duration // when a peer last showed that it is up
	listing   listing
	peerStale bool            // a peer announced settings that are too old
	waiting   []sparconfig.VM // peers to notify once there are settings
}

// Seeds sets the control addresses to query at the start, when no other VM is on record, and
// in rotation with the peers later. A VM that is one of them, or that has none configured,
// reads the platform at its start.
func (s *Sync) Seeds(controls []string) {
	s.seeds = nil
	for _, control := range controls {
		if control != s.self.Control {
			s.seeds = append(s.seeds, &peer{vm: sparconfig.VM{Control: control}})
		}
	}
	s.start.index = slices.Index(controls, s.self.Control)
	s.start.controls = nil
	if s.start.index >= 0 {
		s.start.controls = controls
	}
	s.start.seed = len(controls) == 0 || s.start.index >= 0
}

// listing is the state of the call that reads the list of VMs from the platform.
type listing struct {
	done       bool
	registered bool          // this VM is registered, so it has restarted
	at         time.Duration // when the call began, then when it ended
}

// startDue reports whether a VM without settings is to read the platform now. If peers have
// replied, each VM adds a delay derived from its name, so that not all read at once.
func (s *Sync) startDue(now time.Duration) bool {
	switch {
	case s.start.seed || s.failing:
		return true
	case s.pullPending(now):
		return false
	case s.start.peerStale:
		return true
	case s.start.lastReply == 0:
		return s.staggeredStartDue(now)
	case now-s.start.lastReply < silentAfter:
		return now-s.start.began >= startTimeout+s.jitter(startJitter)
	}
	return now-s.start.lastReply >= silentAfter+s.jitter(startJitter)
}

// staggeredStartDue reports whether this VM is to read the platform now although no seed has
// replied. VMs of higher precedence read first.
func (s *Sync) staggeredStartDue(now time.Duration) bool {
	if !s.start.listing.done {
		return false
	}
	switch others := len(s.peers); {
	case !s.start.listing.registered:
		return now-s.start.began >= newSiteWait
	case others < startReaders:
		return true
	}
	return now-s.start.listing.at >= startStep*time.Duration(bits.Len(uint(s.rank()/startReaders)))
}

// listingDue reports whether a VM whose seeds do not reply is to read the list of VMs.
func (s *Sync) listingDue(now time.Duration) bool {
	return !s.Synced() && !s.start.seed && s.start.lastReply == 0 && !s.pullPending(now) &&
		s.start.listing.at == 0 && now-s.start.began >= seedTimeout
}

// VMsListed is called when a ListVMs has succeeded with the VMs registered at the platform.
// It queries one of those that read first.
func (s *Sync) VMsListed(vms []sparconfig.VM, now time.Duration) []Output {
	same := func(vm sparconfig.VM) bool { return vm.Name == s.self.Name }
	s.start.listing = listing{done: true, registered: slices.ContainsFunc(vms, same), at: now}
	if s.Synced() {
		return nil // the settings contain the same list
	}
	s.List(vms, now)
	names := s.names(precedence)
	first := s.peers[names[s.rank()%min(startReaders, len(names))]]
	if first == nil {
		return nil
	}
	return []Output{s.query(first.vm, now)}
}

// ListVMsFailed is called when a ListVMs has failed. The platform is then retried as after a
// failed read.
func (s *Sync) ListVMsFailed(now time.Duration) []Output {
	s.start.listing.done = true
	return s.ReadFailed(now)
}

// jitter returns a fraction of d that is derived from the name of this VM.
func (s *Sync) jitter(d time.Duration) time.Duration {
	const steps = 1 << 10
	return d * time.Duration(sparrank.Hash(s.self.Name)%steps) / steps
}

// querySeeds queries all seeds at once.
func (s *Sync) querySeeds(now time.Duration) []Output {
	var outs []Output
	for _, seed := range s.seeds {
		outs = append(outs, s.query(seed.vm, now))
	}
	return outs
}

// addWaiting adds a peer to those to notify once this VM has settings, and confirms that this
// VM is up. It does nothing unless the first read is under way.
func (s *Sync) addWaiting(vm sparconfig.VM, now time.Duration) []Output {
	if !s.reading {
		return nil
	}
	same := func(other sparconfig.VM) bool { return other.Name == vm.Name }
	if len(s.start.waiting) < maxWaiting && !slices.ContainsFunc(s.start.waiting, same) {
		s.start.waiting = append(s.start.waiting, vm)
	}
	return []Output{Confirm{To: vm, Timing: s.timing(vm.Name, now)}}
}

// notifyWaiting notifies the peers that wait for the first settings of this VM.
func (s *Sync) notifyWaiting(now time.Duration) []Output {
	if !s.Synced() {
		return nil
	}
	var outs []Output
	for _, vm := range s.start.waiting {
		outs = append(outs, s.notify(vm, now))
	}
	s.start.waiting = nil
	return outs
}
