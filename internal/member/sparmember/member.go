// Package sparmember decides which VMs take part, from heartbeats.
//
// A Tracker makes decisions only: the shell feeds it heartbeats, the platform's
// list and the time, and sends the heartbeats it asks for.
//
//	t := sparmember.NewTracker(self, incarnation)
//	t.Heard(heartbeat, now)
//	view := t.View(now) // the VMs that may own slots, in name order
//
// The list of the platform says whom to talk to. Only a fresh heartbeat makes a VM
// a member, so a list that lags or still names the dead does no harm. Two VMs
// take each other for members only while both hear each other.
package sparmember

import (
	_ "embed"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/state/sparchart"
)

const (
	// Beat is the time between two heartbeats to a peer.
	Beat = 300 * time.Millisecond
	// Silence is how long a peer may be silent and stay a member.
	Silence = 4 * Beat
	// Fresh is the longest pause of this process after which its view still holds.
	Fresh = 900 * time.Millisecond
	// Listen is how long a starting VM listens before it may own slots alone.
	Listen = 5 * Beat
	// Patience is how long disagreement about the view may delay overrides.
	Patience = 5 * time.Second

	forget = time.Minute

	owns = sparchart.Mark("owns")
)

//go:embed vm.chart
var chartText []byte

var vmChart = sparchart.MustParse(chartText)

type (
	// Member is one VM that may own slots.
	Member struct {
		VM          sparconfig.VM
		Incarnation uint64
		Rank        uint64 // hash of the name, for rendezvous
	}

	// View is the set of VMs that may own slots, in name order. It is immutable.
	View struct {
		Members []Member
		Leaving []Member // heard, on their way out, handing slots over
		Digest  uint64
		Settled bool // every member reports this same view
	}

	// Heartbeat is what a VM tells each peer about itself.
	Heartbeat struct {
		VM          sparconfig.VM
		Incarnation uint64
		Owns        bool // may own slots
		Leaving     bool
		Synced      bool     // holds a whole reading of the settings
		Revision    uint64   // of its settings
		Digest      uint32   // of its settings, folded
		View        uint32   // digest of its view, folded
		Deaf        []string // peers spoken to and not heard within Silence, in order
		Full        bool     // VM carries its addresses, not only its name
	}

	// Tracker follows the VMs of a deployment for one of them.
	Tracker struct {
		self        sparconfig.VM
		incarnation uint64
		state       sparchart.State
		listed      map[string]sparconfig.VM
		peers       map[string]*peer
		synced      bool
		began       time.Duration
		ticked      time.Duration
		unsettled   time.Duration
		partial     time.Duration // last time that a listed VM was out of reach
		view        View
	}

	peer struct {
		last Heartbeat
		at   time.Duration
	}
)

// NewTracker returns a Tracker for self, which starts at monotonic time now.
// The incarnation grows with each start of the VM.
func NewTracker(self sparconfig.VM, incarnation uint64, now time.Duration) *Tracker {
	return &Tracker{
		self: self, incarnation: incarnation, state: vmChart.Start(),
		listed: map[string]sparconfig.VM{}, peers: map[string]*peer{},
		began: now, ticked: now, unsettled: now,
	}
}

// List takes the platform's list of VMs.
func (t *Tracker) List(vms []sparconfig.VM) {
	t.listed = map[string]sparconfig.VM{}
	for _, vm := range vms {
		t.listed[vm.Name] = vm
	}
}

// Synced says that the settings hold a whole reading. Only from then on does this VM
// know whom to listen for.
func (t *Tracker) Synced() {
	if !t.synced {
		t.began = t.ticked
	}
	t.synced = true
}

// Heard takes a heartbeat. A first one counts only with the addresses of its sender.
func (t *Tracker) Heard(h Heartbeat, now time.Duration) {
	p := t.peers[h.VM.Name]
	switch {
	case h.VM.Name == t.self.Name:
		return
	case p == nil && !h.Full:
		return
	case p != nil && h.Incarnation < p.last.Incarnation:
		return
	}
	if !h.Full {
		h.VM = p.last.VM
	}
	t.peers[h.VM.Name] = &peer{last: h, at: now}
}

// Stop makes the VM leave: it owns no slot from the next view on.
func (t *Tracker) Stop() { t.state = vmChart.Next(t.state, "stop") }

// State returns the state of this VM in the chart.
func (t *Tracker) State() sparchart.State { return t.state }

// Tick moves time on. Where the process slept past Fresh it returns for how long:
// nothing that it knew of the others holds any more.
func (t *Tracker) Tick(now time.Duration) (pause time.Duration) {
	if now-t.ticked > Fresh {
		pause = now - t.ticked
		t.state = vmChart.Next(t.state, "frozen")
		t.began = now
		for _, p := range t.peers {
			p.at = now - Silence - Beat
		}
	}
	t.ticked = now
	for name, p := range t.peers {
		if now-p.at > forget {
			delete(t.peers, name)
		}
	}
	if !vmChart.Has(t.state, owns) && t.mayServe(now) {
		t.state = vmChart.Next(t.state, "ready")
	}
	return pause
}

// mayServe waits for settings, and until the owners heard hear this VM too. Where
// nobody speaks up, or some stay deaf for long, it goes on without them.
func (t *Tracker) mayServe(now time.Duration) bool {
	if !t.synced {
		return false
	}
	waited := now - t.began
	owners, deaf := 0, 0
	for _, p := range t.peers {
		if !t.live(p, now) || !p.last.Owns {
			continue
		}
		owners++
		if !t.mutual(p) {
			deaf++
		}
	}
	switch {
	case owners == 0:
		return waited >= Listen
	case deaf == 0:
		return waited >= 2*Beat
	}
	return waited >= Patience
}

// View returns the VMs that may own slots at now.
func (t *Tracker) View(now time.Duration) View {
	next := View{Settled: true}
	if vmChart.Has(t.state, owns) {
		next.Members = append(next.Members, member(t.self, t.incarnation))
	}
	for _, p := range t.peers {
		switch {
		case !t.live(p, now):
		case p.last.Owns && t.mutual(p):
			next.Members = append(next.Members, member(p.last.VM, p.last.Incarnation))
		case p.last.Leaving:
			next.Leaving = append(next.Leaving, member(p.last.VM, p.last.Incarnation))
		}
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	next.Digest = viewDigest(next.Members)
	for _, p := range t.peers {
		if t.live(p, now) && p.last.View != Fold(next.Digest) {
			next.Settled = false
		}
	}
	if next.Settled || next.Digest != t.view.Digest {
		t.unsettled = now
	}
	if now-t.unsettled > Patience {
		next.Settled = true
	}
	t.view = next
	return next
}

// Beats returns this VM's heartbeat for the given settings.
func (t *Tracker) Beats(revision, digest uint64, now time.Duration) Heartbeat {
	h := Heartbeat{
		VM: t.self, Incarnation: t.incarnation, Synced: t.synced,
		Owns: vmChart.Has(t.state, owns), Leaving: t.state == "leaving",
		Revision: revision, Digest: Fold(digest), View: Fold(t.view.Digest),
	}
	for _, vm := range t.Targets() {
		if p := t.peers[vm.Name]; p == nil || !t.live(p, now) {
			h.Deaf = append(h.Deaf, vm.Name)
		}
	}
	return h
}

// Targets returns the VMs to send heartbeats to: those listed and those heard.
func (t *Tracker) Targets() []sparconfig.VM {
	targets := map[string]sparconfig.VM{}
	for name, vm := range t.listed {
		targets[name] = vm
	}
	for name, p := range t.peers {
		targets[name] = p.last.VM
	}
	delete(targets, t.self.Name)
	list := make([]sparconfig.VM, 0, len(targets))
	for _, vm := range targets {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b sparconfig.VM) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Live returns the last heartbeats of the peers heard within Silence, by name.
func (t *Tracker) Live(now time.Duration) []Heartbeat {
	var list []Heartbeat
	for _, p := range t.peers {
		if t.live(p, now) {
			list = append(list, p.last)
		}
	}
	slices.SortFunc(list, func(a, b Heartbeat) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	return list
}

// Incarnation returns the life of a peer that has been heard.
func (t *Tracker) Incarnation(name string) (incarnation uint64, ok bool) {
	p := t.peers[name]
	if p == nil {
		return 0, false
	}
	return p.last.Incarnation, true
}

// VM returns the addresses of a peer that has been heard.
func (t *Tracker) VM(name string) (vm sparconfig.VM, ok bool) {
	p := t.peers[name]
	if p == nil {
		return sparconfig.VM{}, false
	}
	return p.last.VM, true
}

// Listed reports whether the platform's list names a VM.
func (t *Tracker) Listed(name string) bool {
	_, ok := t.listed[name]
	return ok
}

// ListedLive reports whether the platform's list names a VM as live.
func (t *Tracker) ListedLive(name string) bool {
	return t.listed[name].State == sparconfig.Live
}

// Hears reports whether a peer was heard within Silence.
func (t *Tracker) Hears(name string, now time.Duration) bool {
	p := t.peers[name]
	return p != nil && t.live(p, now)
}

// Partial reports whether a VM that the platform lists as live is out of reach, or was
// within Patience before now.
func (t *Tracker) Partial(now time.Duration) bool {
	for name, vm := range t.listed {
		if name != t.self.Name && vm.State == sparconfig.Live && !t.Knows(name, now) {
			t.partial = now
			break
		}
	}
	return t.partial > 0 && now-t.partial < Patience
}

// Knows reports whether a peer hears this VM and so has its addresses.
func (t *Tracker) Knows(name string, now time.Duration) bool {
	return t.Hears(name, now) && t.mutual(t.peers[name])
}

// Watches reports whether this VM reads the platform for its failure domain: the
// two best ranked members of a domain do.
func (t *Tracker) Watches(now time.Duration) bool {
	const watchers = 2
	slot := int(sparrank.Name(t.self.Domain) % 1024)
	mine := sparrank.Weight(slot, sparrank.Name(t.self.Name))
	better := 0
	for _, p := range t.peers {
		if !t.live(p, now) || p.last.VM.Domain != t.self.Domain || !p.last.Synced {
			continue
		}
		if sparrank.Weight(slot, sparrank.Name(p.last.VM.Name)) > mine {
			better++
		}
	}
	return better < watchers
}

func (t *Tracker) live(p *peer, now time.Duration) bool {
	return now-p.at <= Silence
}

// mutual reports whether the peer hears this VM. A peer that never knew of this VM
// would not have sent it a heartbeat.
func (t *Tracker) mutual(p *peer) bool {
	_, deaf := slices.BinarySearch(p.last.Deaf, t.self.Name)
	return !deaf
}

func member(vm sparconfig.VM, incarnation uint64) Member {
	return Member{VM: vm, Incarnation: incarnation, Rank: sparrank.Name(vm.Name)}
}

func viewDigest(members []Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range members {
		_, _ = d.WriteString(m.VM.Name)
		_, _ = d.Write([]byte{0, byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24)})
	}
	return d.Sum64()
}

// Fold shortens a digest to what a heartbeat carries.
func Fold(digest uint64) uint32 {
	return uint32(digest ^ digest>>32)
}

// Index returns the position of the member called name, or -1.
func (v View) Index(name string) int {
	for i, m := range v.Members {
		if m.VM.Name == name {
			return i
		}
	}
	return -1
}
