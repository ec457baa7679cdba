// Package sparsync keeps the settings of all VMs in step with the platform at few
// calls. One VM reads, the others hear of it.
//
// Each VM knows as of when its settings are certain: a reading begun then, or a
// peer's word with its age, told along a tree of VMs. A VM whose settings grow old
// asks peers, then reads for itself; the order of names staggers who does so first.
// A Sync does no I/O and reads no clock. Its time must go on while the VM is
// suspended, so that settings age meanwhile:
//
//	s := sparsync.New(self, bound)
//	for _, out := range s.Tick(now) {
//		switch out := out.(type) {
//		case sparsync.Read:
//			// read the platform, then call s.ReadDone
//		case sparsync.Notify:
//			// send out.Notice to out.To
//		}
//	}
package sparsync

import (
	_ "embed"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	readsMark = sparchart.Mark("reads")
	tellsMark = sparchart.Mark("tells")

	// Shares of the time within which settings must be in force everywhere. What is
	// left after a takeover covers a call, its timeout and the way along the tree.
	readShare     = 0.25
	askShare      = 0.4
	takeoverShare = 0.5
	staggerShare  = 0.15

	retryFirst = 150 * time.Millisecond
	retryLast  = 2 * time.Second
	askEvery   = 200 * time.Millisecond
	// controlRate is what a VM may spend on control, in bytes a second. A reader of
	// settings that need more reads what has changed.
	controlRate = 8000
	// settle is how long entries may be missing after the platform's return: the
	// upstreams' time to list themselves again, and one reading.
	settle = 2500 * time.Millisecond
)

var (
	//go:embed reader.chart
	chartText []byte

	chart = sparchart.MustParse(chartText)
)

type (
	// Held is what a registry holds, by revision and digest.
	Held struct {
		Revision uint64
		Digest   uint64
	}

	// Sync is the state of one VM. Use New.
	Sync struct {
		self    sparconfig.VM
		bound   time.Duration
		state   sparchart.State
		held    Held
		certain time.Duration // the settings were complete then; 0 before the first
		peers   map[string]*peer
		seeds   []*peer
		orders  map[int][]string // of names, by slot

		source     mark          // whose reading the settings follow
		rounds     uint64        // readings of this VM
		busy       bool          // a reading is under way
		readBegan  time.Duration // when the reading under way began
		readAt     time.Duration
		size       int // bytes of the last whole reading, 0 before the first
		retry      time.Duration
		failing    bool
		returned   time.Duration            // when the platform answered again after a failure
		outages    map[string]time.Duration // when the platform failed to answer a VM
		wanted     wanted
		asking     Notice        // that the pull under way follows; its age counts from time 0
		missed     Notice        // to be followed once no pull is under way; as asking
		pullAt     time.Duration // not before
		pulling    bool
		pullUntil  time.Duration // the pull under way is waited for
		start      start
		serving    serving
		enlistedAt time.Duration
		askedAt    time.Duration
		asked      int // number of peers asked, to ask them in turn
		relayed    mark
	}

	// mark is one round of one reader.
	mark struct {
		reader string
		round  uint64
	}
)

// New returns the state of the VM self. Settings must be in force everywhere within
// bound of their acknowledgement.
func New(self sparconfig.VM, bound time.Duration) *Sync {
	return &Sync{
		self: self, bound: bound, state: chart.Start(), retry: retryFirst, start: start{seed: true},
		peers: map[string]*peer{}, orders: map[int][]string{}, outages: map[string]time.Duration{},
	}
}

// State returns what this VM does about settings: starting, following or reading.
func (s *Sync) State() string { return string(s.state) }

// Reader returns the VM whose reading the settings here follow.
func (s *Sync) Reader() string { return s.source.reader }

// Synced reports whether the settings were complete at some time.
func (s *Sync) Synced() bool { return s.state != chart.Start() }

// Age returns how long ago the settings here were complete for certain.
func (s *Sync) Age(now time.Duration) time.Duration { return now - s.certain }

// Fresh reports whether the settings are recent enough to refuse a caller by.
func (s *Sync) Fresh(now time.Duration) bool {
	return s.Synced() && s.Age(now) < s.share(takeoverShare)
}

// Failing reports whether the platform has not answered this VM lately.
func (s *Sync) Failing() bool { return s.failing }

// Settling reports whether the platform has just come back, so that entries may be
// missing from it whose writers live.
func (s *Sync) Settling(now time.Duration) bool {
	return s.returned > 0 && now-s.returned < settle
}

// Holds takes what the registry holds now.
func (s *Sync) Holds(held Held) {
	s.held = held
	if s.wanted.reader != "" && held.Digest == s.wanted.digest {
		s.confirm(s.wanted.certain, s.wanted.mark)
		s.wanted = wanted{}
	}
}

// Heard takes a notice of a peer.
func (s *Sync) Heard(n Notice, now time.Duration) []Output {
	s.alive(n.From, now)
	s.start.answered = now
	s.start.outdated = s.start.outdated || n.Age >= s.share(takeoverShare)
	outs := append([]Output{Confirm{To: n.From}}, s.outrank(n, now)...)
	s.yield(n)
	switch {
	case s.Synced() && n.Digest == s.held.Digest:
		s.confirm(now-n.Age, mark{n.Reader, n.Round})
	case !s.Synced() || n.Revision >= s.held.Revision:
		return append(outs, s.want(n, now)...)
	}
	return append(outs, s.tell(now)...)
}

// Asked takes the question of a peer. One that knows no settings yet but is asked
// learns of a peer to ask.
func (s *Sync) Asked(q Query, now time.Duration) []Output {
	s.alive(q.From, now)
	s.learn(q.Outages, now)
	switch {
	case !s.Synced() && q.Synced:
		return []Output{s.enquire(q.From, now)}
	case !s.Synced():
		return s.wait(q.From)
	case !q.Synced:
		return s.refer(q.From, now)
	case s.Age(now) < q.Age:
		return []Output{Notify{To: q.From, Notice: s.notice(now)}}
	}
	return nil
}

func (s *Sync) enquire(to sparconfig.VM, now time.Duration) Output {
	return Enquire{To: to, Query: Query{From: s.self, Synced: s.Synced(), Age: s.Age(now), Outages: s.knownOutages(now)}}
}

// Confirmed takes the word of a peer that a notice arrived, or that it is up but has no
// settings to hand out yet.
func (s *Sync) Confirmed(vm sparconfig.VM, now time.Duration) {
	s.alive(vm, now)
	s.start.answered = now
}

// confirm notes that the settings here were complete at a time.
func (s *Sync) confirm(at time.Duration, by mark) {
	if at <= s.certain && s.Synced() {
		return
	}
	s.certain = at
	s.source = by
	s.state = chart.Next(s.state, "synced")
}

func (s *Sync) share(of float64) time.Duration { return time.Duration(of * float64(s.bound)) }
