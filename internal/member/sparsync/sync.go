// Package sparsync keeps the settings of all VMs up to date with the platform at the
// cost of few calls. One VM, the reader, reads the platform and notifies the others.
//
// Each VM tracks the time as of which its settings are fresh: the start of its own
// read, or the age in a notification, which VMs forward along a tree. A VM whose
// settings are old queries peers, then reads the platform itself. Such takeovers are
// staggered by precedence, an order of the VMs by capacity class, then by rendezvous hashing.
//
// A Sync does no I/O and reads no clock. The clock passed to it must keep running
// while the VM is suspended, so that the settings age meanwhile:
//
//	s := sparsync.New(self, incarnation, bound, beat)
//	for _, out := range s.Tick(now) {
//		switch out := out.(type) {
//		case sparsync.Read:
//			// read the platform, then call s.ReadDone
//		case sparsync.Notify:
//			// send out.Notification to out.To
//		}
//	}
package sparsync

import (
	_ "embed"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	readsMark = sparchart.Mark("reads")
	tellsMark = sparchart.Mark("tells")

	// Shares of the bound, the time within which settings must be in force everywhere:
	// the age at which the reader reads again, at which a VM queries peers and at which
	// it takes over reading, and the time over which takeovers are staggered. The rest
	// covers a call, its timeout and the notifications along the tree.
	readShare     = 0.25
	queryShare    = 0.4
	takeoverShare = 0.5
	staggerShare  = 0.15

	// smallRead is the number of bytes that the slowest link carries in a fraction of the bound.
	smallRead = 250_000
	// largeTime is how long after changes above their limit the next ones are expected to be
	// as large, since versions of a large document follow each other.
	largeTime = 5 * time.Second

	minBackoff    = 150 * time.Millisecond
	maxBackoff    = 2 * time.Second
	queryInterval = 200 * time.Millisecond
	// controlRate limits the control traffic of a VM, in bytes a second. Settings whose
	// full reads would need more are read incrementally.
	controlRate = 8000
	// settleTime is how long entries may be missing after the platform has recovered: the
	// time upstreams need to register again, and one read.
	settleTime = 2500 * time.Millisecond
)

var (
	//go:embed reader.chart
	chartText []byte

	chart = sparchart.MustParse(chartText)
)

type (
	// Held identifies the content of a registry by position and digest. The revision is 0 while
	// entries of earlier eras are kept.
	Held struct {
		At     sparregistry.Position
		Digest uint64
	}

	// Sync is the state of one VM. Use New to create it.
	Sync struct {
		self        sparconfig.VM
		incarnation uint32 // of this run of the VM
		bound       time.Duration
		beat        time.Duration // between two heartbeats of an upstream to the platform
		state       sparchart.State
		held        Held
		freshAt     time.Duration // when the settings were last known to be complete, 0 before the first
		peers       map[string]*peer
		seeds       []*peer
		standing    standing         // of this VM, as listed
		orders      map[int][]string // cached results of names, by slot

		source       readRound     // of the read that freshAt stems from
		rounds       uint64        // successful reads of this VM
		reading      bool          // a read is under way
		readBegan    time.Duration // when the read under way began
		nextRead     time.Duration // earliest time of the next read
		size         int           // bytes of the last full read, 0 before the first
		largeAt      time.Duration // when changes were last above their limit
		backoff      time.Duration
		failing      bool
		reclaimFrom  time.Duration            // since when the reader is of a lower class, or 0
		recoveredAt  time.Duration            // when the platform answered again after a failure
		restoredAt   time.Duration            // when a later era of the platform was first seen
		outages      map[string]time.Duration // when the platform failed to answer a VM
		target       target
		current      Notification  // notification that the pull under way follows; its age is relative to time 0
		deferred     Notification  // notification to follow once no pull is under way; its age as in current
		nextPull     time.Duration // earliest time of the next pull
		pulling      bool
		pullTimeout  time.Duration // of the pull under way, without progress
		pullDeadline time.Duration // of the pull under way
		start        start
		serving      serving
		tickedAt     time.Duration
		resumedAt    time.Duration // end of the last pause, or 0
		registeredAt time.Duration // last check for VMs to register
		queriedAt    time.Duration
		queries      int       // times that peers were queried, to rotate them
		forwarded    readRound // latest round forwarded
	}

	// readRound is one read by one reader.
	readRound struct {
		reader string
		round  uint64
	}
)

// New returns the state of the VM self. incarnation differs between the runs of a VM. Settings
// must be in force everywhere within bound of their acknowledgement, and upstreams write to the
// platform at intervals of beat.
func New(self sparconfig.VM, incarnation uint32, bound, beat time.Duration) *Sync {
	return &Sync{
		self: self, incarnation: incarnation, bound: bound, beat: beat, state: chart.Start(), backoff: minBackoff, start: start{seed: true}, standing: standingOf(self),
		peers: map[string]*peer{}, orders: map[int][]string{}, outages: map[string]time.Duration{},
	}
}

// State returns the state of this VM in the chart: starting, following or reading.
func (s *Sync) State() string { return string(s.state) }

// Reader returns the VM whose read the freshness of the settings stems from.
func (s *Sync) Reader() string { return s.source.reader }

// Synced reports whether this VM has obtained complete settings, of whatever age.
func (s *Sync) Synced() bool { return s.state != chart.Start() }

// Age returns how long ago the settings were last known to be complete.
func (s *Sync) Age(now time.Duration) time.Duration { return now - s.freshAt }

// Fresh reports whether the settings are recent enough to refuse a client based on them.
func (s *Sync) Fresh(now time.Duration) bool {
	return s.Synced() && s.Age(now) < s.share(takeoverShare)
}

// Failing reports whether the last read of the platform, or listing of VMs, failed.
func (s *Sync) Failing() bool { return s.failing }

// Settling reports whether the platform has recovered, or was restored, so recently that it
// may lack entries of writers that still run.
func (s *Sync) Settling(now time.Duration) bool {
	return s.recoveredAt > 0 && now-s.recoveredAt < settleTime
}

// SetHeld sets what the registry holds now. If that is what the pull under way was to bring,
// the settings are as fresh as its notification said.
func (s *Sync) SetHeld(held Held) {
	s.held = held
	if s.target.reader != "" && held.Digest == s.target.digest {
		s.markFresh(s.target.freshAt, s.target.readRound)
		s.target = target{}
	}
}

// Notified is called for a notification received from a peer. The age in it is that at its
// sending. A notification whose time under way is unknown shows no freshness.
func (s *Sync) Notified(n Notification, now time.Duration) []Output {
	sent, ok := s.received(n.From, n.Timing, now)
	n.Age += now - sent
	s.start.lastReply = now
	s.start.peerStale = s.start.peerStale || n.Age >= s.share(takeoverShare)
	outs := []Output{Confirm{To: n.From, Timing: s.timing(n.From.Name, now)}}
	if !ok {
		return append(outs, s.verify(n, now)...)
	}
	outs = append(outs, s.notifyOutranked(n, now)...)
	s.yieldTo(n)
	switch {
	case s.Synced() && n.Digest == s.held.Digest:
		s.markFresh(now-n.Age, readRound{n.Reader, n.Round})
	case !s.Synced() || n.At.Compare(s.held.At) >= 0:
		return append(outs, s.pull(n, now)...)
	}
	return append(outs, s.forward(now)...)
}

// Queried is called for a query received from a peer. A VM that has no settings yet queries
// the peer in turn if that one has settings.
func (s *Sync) Queried(q Query, now time.Duration) []Output {
	sent, ok := s.received(q.From, q.Timing, now)
	q.Age += now - sent
	if ok || !s.pausedRecently(now) {
		s.mergeOutages(q.Outages, sent)
	}
	switch {
	case !s.Synced() && q.Synced:
		return []Output{s.query(q.From, now)}
	case !s.Synced():
		return s.addWaiting(q.From, now)
	case !q.Synced:
		return s.refer(q.From, now)
	case s.Age(now) < q.Age:
		return []Output{s.notify(q.From, now)}
	}
	return nil
}

func (s *Sync) query(to sparconfig.VM, now time.Duration) Output {
	return SendQuery{To: to, Query: Query{
		From: s.self, Synced: s.Synced(), Age: s.Age(now), Outages: s.recentOutages(now), Timing: s.timing(to.Name, now),
	}}
}

// Confirmed is called for a Confirm received from a peer: a notification has arrived there,
// or the peer is up but can't supply settings yet.
func (s *Sync) Confirmed(vm sparconfig.VM, t Timing, now time.Duration) {
	s.received(vm, t, now)
	s.start.lastReply = now
}

// markFresh records that the settings were complete at the time at, as round has shown.
func (s *Sync) markFresh(at time.Duration, round readRound) {
	if at <= s.freshAt && s.Synced() {
		return
	}
	s.freshAt = at
	s.source = round
	s.state = chart.Next(s.state, "synced")
}

func (s *Sync) share(of float64) time.Duration { return time.Duration(of * float64(s.bound)) }
