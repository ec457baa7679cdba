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
	"cmp"
	_ "embed"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
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

	// staggerSteps is the number of ranks that a takeover is staggered over.
	staggerSteps = 8

	retryFirst = 150 * time.Millisecond
	retryLast  = 2 * time.Second
	askEvery   = 200 * time.Millisecond
	// pullEvery is how long a pull is waited for before the next is begun.
	pullEvery = 250 * time.Millisecond
	// startPatience is how long a VM that starts waits for more of its first reading before
	// it asks peers for everything: many times the usual answer of the platform.
	startPatience = 300 * time.Millisecond
	// aliveFor is how long a peer counts as reachable after it was last heard.
	aliveFor = 6 * time.Second
	// controlRate is what a VM may spend on control, in bytes a second. A reader of
	// settings that need more reads what has changed.
	controlRate = 8000
	// unlistAfter is how long a VM must have left notices unanswered before its entry is
	// taken out: longer than a restart, a suspension, and a region's usual cut.
	unlistAfter = 10 * time.Minute
	// maxOrders is the number of orders of names kept: one for takeovers, and one for
	// each VM that has read lately.
	maxOrders = 8
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
	// Output is something for the shell to do. It is a sealed interface: Read, Ask,
	// Enquire, Notify, Confirm or Unlist.
	Output interface {
		output()
	}

	// Read asks for a reading of the platform: of what has changed after a revision, or
	// of everything where that is 0.
	Read struct {
		After uint64
	}

	// Ask pulls settings from a peer.
	Ask struct {
		From  sparconfig.VM
		After uint64 // only what changed later; 0 for everything
	}

	// Enquire asks a peer whether its settings are more recent.
	Enquire struct {
		To    sparconfig.VM
		Query Query
	}

	// Query is a question for a notice.
	Query struct {
		From   sparconfig.VM
		Synced bool
		Age    time.Duration
	}

	// Notify tells a peer how old the settings here are.
	Notify struct {
		To     sparconfig.VM
		Notice Notice
	}

	// Confirm tells a peer that its notice arrived.
	Confirm struct {
		To sparconfig.VM
	}

	// Unlist asks to take the entry of a VM out of the platform, since it has been silent
	// for long. A VM that lives lists itself again.
	Unlist struct {
		Name string
	}

	// Notice says that the settings of a VM at Revision were complete Age ago.
	Notice struct {
		From     sparconfig.VM
		Reader   string // the VM that read the platform
		Round    uint64 // of that reader, rising
		Revision uint64
		Digest   uint64
		Age      time.Duration
	}

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

		source    mark          // whose reading the settings follow
		rounds    uint64        // readings of this VM
		busy      bool          // a reading is under way
		readMoved time.Duration // when the reading under way began or brought something
		readAt    time.Duration
		size      int // bytes of the last whole reading, 0 before the first
		retry     time.Duration
		failing   bool
		returned  time.Duration // when the platform answered again after a failure
		wanted    wanted
		missed    Notice // came while a pull was under way; its age counts from time 0
		pulling   bool
		pulledAt  time.Duration
		askedAt   time.Duration
		asked     int // number of peers asked, to ask them in turn
		relayed   mark
	}

	// wanted is settings that a peer has and this VM lacks.
	wanted struct {
		mark
		digest  uint64
		certain time.Duration
	}

	// mark is one round of one reader.
	mark struct {
		reader string
		round  uint64
	}

	peer struct {
		vm      sparconfig.VM
		heard   time.Duration
		known   bool          // listed by the platform, otherwise only heard
		open    int           // notices sent since it was heard last
		unheard time.Duration // the first of them, or the last time that it was to be unlisted
	}
)

func (Read) output()    {}
func (Ask) output()     {}
func (Enquire) output() {}
func (Notify) output()  {}
func (Confirm) output() {}
func (Unlist) output()  {}

// New returns the state of the VM self. Settings must be in force everywhere within
// bound of their acknowledgement.
func New(self sparconfig.VM, bound time.Duration) *Sync {
	return &Sync{self: self, bound: bound, state: chart.Start(), retry: retryFirst, peers: map[string]*peer{}, orders: map[int][]string{}}
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

// Seeds takes the control addresses to ask while no VM is known.
func (s *Sync) Seeds(controls []string) {
	s.seeds = nil
	for _, control := range controls {
		if control != s.self.Control {
			s.seeds = append(s.seeds, &peer{vm: sparconfig.VM{Control: control}})
		}
	}
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
	switch {
	case !s.Synced() && q.Synced:
		return []Output{s.enquire(q.From, now)}
	case s.Synced() && (!q.Synced || s.Age(now) < q.Age):
		return []Output{Notify{To: q.From, Notice: s.notice(now)}}
	}
	return nil
}

func (s *Sync) enquire(to sparconfig.VM, now time.Duration) Output {
	return Enquire{To: to, Query: Query{From: s.self, Synced: s.Synced(), Age: s.Age(now)}}
}

// Confirmed takes the word of a peer that a notice arrived.
func (s *Sync) Confirmed(vm sparconfig.VM, now time.Duration) { s.alive(vm, now) }

// Pulled takes the outcome of an Ask, after the registry has merged what came. The
// settings of the peer were complete at the time given; complete says that the registry
// holds at least what the peer holds. Where changes did not suffice for that, everything
// is asked for.
func (s *Sync) Pulled(from sparconfig.VM, reader string, certain time.Duration, complete bool, now time.Duration) []Output {
	s.alive(from, now)
	s.pulling = false
	if !complete {
		s.pulling, s.pulledAt = true, now
		return []Output{Ask{From: from}}
	}
	s.wanted = wanted{}
	s.confirm(certain, mark{reader: reader})
	return append(s.catchUp(now), s.tell(now)...)
}

// PullFailed takes the failure of an Ask.
func (s *Sync) PullFailed(now time.Duration) []Output {
	s.pulling = false
	return s.catchUp(now)
}

// want asks a peer for settings that this VM lacks. One pull is under way at a time, and
// none while the first reading of the platform is likely to bring everything.
func (s *Sync) want(n Notice, now time.Duration) []Output {
	starting := !s.Synced() && (s.readMoved == 0 || s.busy && now-s.readMoved < startPatience)
	if starting || s.pulling && now-s.pulledAt < pullEvery {
		n.Age -= now // the time at which it was complete, until it is taken up again
		s.missed = n
		return nil
	}
	after := s.held.Revision
	if !s.Synced() {
		after = 0
	}
	s.wanted = wanted{
		mark: mark{n.Reader, n.Round}, digest: n.Digest, certain: now - n.Age,
	}
	s.pulling, s.pulledAt = true, now
	return []Output{Ask{From: n.From, After: after}}
}

// catchUp takes up the last notice that came while a pull was under way.
func (s *Sync) catchUp(now time.Duration) []Output {
	n := s.missed
	s.missed = Notice{}
	if n.Reader == "" || n.Digest == s.held.Digest || s.Synced() && n.Revision < s.held.Revision {
		return nil
	}
	n.Age += now
	return s.want(n, now)
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

func (s *Sync) share(of float64) time.Duration { return time.Duration(of * float64(s.bound)) }

// names returns this VM and its peers, those with the highest weight for slot first.
// The order is kept until the peers change. It must not be written to.
func (s *Sync) names(slot int) []string {
	if names := s.orders[slot]; names != nil {
		return names
	}
	weights := map[string]uint64{s.self.Name: sparrank.Weight(slot, sparrank.Name(s.self.Name))}
	for name := range s.peers {
		weights[name] = sparrank.Weight(slot, sparrank.Name(name))
	}
	names := slices.SortedFunc(maps.Keys(weights), func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), strings.Compare(a, b))
	})
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
