package sparsync_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	step         = 10 * time.Millisecond
	bound        = 3 * time.Second         // within which settings must be in force, at present sites
	largeBound   = 20 * time.Second        // at the size expected in two years
	beat         = 1200 * time.Millisecond // between two heartbeats of an upstream
	oneWay       = 2 * time.Millisecond
	callTime     = 8 * time.Millisecond
	eraStep      = 1_000_000               // numbers of an era
	keepTime     = 2500 * time.Millisecond // for which a VM keeps entries of an earlier era
	callTimeout  = 900 * time.Millisecond  // of a platform or a peer that does not respond
	tickInterval = 50 * time.Millisecond
	run          = 1 // incarnation of a single VM

	smallSettings = 4_000     // bytes; each read is a full read
	largeSettings = 2_300_000 // bytes of 7,800 upstreams and 1,300 routes
	changeSize    = 500       // bytes of a change, and of a call that returns none
	datagram      = 170       // bytes of a notification with its headers
	compression   = 3         // ratio of the settings to their encoding in a pull

	linkRate     = 20_000_000 / 8         // bytes a second, of a VM's link
	platformRate = 1_000_000_000 / 8      // bytes a second, of the platform's link
	progressTime = 100 * time.Millisecond // between two reports that a pull makes progress
)

type (
	// sim simulates VMs, the platform and the network between them. Settings are
	// represented by a number alone, which gives their position, see at.
	sim struct {
		t            *testing.T
		rng          *rand.Rand
		now          time.Duration
		revision     uint64
		changed      time.Duration // when the revision last rose
		vms          []*member
		events       []event
		calls        int
		fullPulls    int            // pulls of full copies
		sent         map[string]int // datagrams by VM
		loss         float64        // share of datagrams lost
		bound        time.Duration
		size         int            // bytes of a full read
		changeSize   int            // bytes of a change
		linkRate     int            // bytes a second, of a VM's link
		read         int            // bytes of all reads
		deregistered map[string]int // by VM, number of requests to remove its entry
		withholding  bool           // the platform omits the latest changes from incremental reads
		slowest      time.Duration  // longest time from a change until all healthy VMs hold it
		slowLinks    bool           // reads and pulls take time on the links
		linkFree     time.Duration  // when the platform's link is free again
		busiest      int            // most full pulls served at once by one VM
	}

	member struct {
		sim         *sim
		vm          sparconfig.VM
		rate        int  // bytes a second of its link, 0 for that of the simulation
		old         bool // of a build that knows no classes, see sees
		bytes       int  // sent, read and served
		notified    int  // notifications sent
		sync        *sparsync.Sync
		held        uint64
		keptSince   time.Duration // when it entered an era that follows another one
		incarnation int
		running     bool
		paused      bool // its datagrams wait for it
		ticked      time.Duration
		// Faults: the platform refuses calls or does not respond, and datagrams to this
		// VM are lost.
		refused, silent, unreachable bool
		linkFree                     time.Duration // when the VM's link is free again
		serving                      int
		busiest                      int           // most full pulls served at once
		listVersion                  int           // of the list of VMs that it has adopted
		readyAt                      time.Duration // when it got settings after its start
		partition                    int           // VMs of different partitions do not reach each other
		healthySince                 time.Duration // last time at which it was down or did not reach the platform
	}

	event struct {
		at          time.Duration
		to          *member
		incarnation int
		do          func()
	}
)

// at returns the position that a number stands for.
func at(number uint64) sparregistry.Position {
	return sparregistry.Position{Era: 1 + number/eraStep, Revision: number % eraStep}
}

func newSim(t *testing.T, n int) *sim { return newBoundSim(t, n, bound) }

func newBoundSim(t *testing.T, n int, bound time.Duration) *sim {
	s := &sim{t: t, bound: bound, rng: rand.New(rand.NewPCG(1, uint64(n))), revision: 10, size: smallSettings, changeSize: changeSize, linkRate: linkRate, sent: map[string]int{}, deregistered: map[string]int{}}
	for i := range n {
		vm := sparconfig.VM{Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("domain-%d", i%3), Control: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1)}
		s.vms = append(s.vms, &member{sim: s, vm: vm})
	}
	for _, m := range s.vms {
		m.start()
	}
	return s
}

func (m *member) start() {
	m.incarnation++
	m.running, m.paused = true, false
	m.held, m.healthySince, m.readyAt, m.serving, m.listVersion = 0, m.sim.now, 0, 0, 0
	m.keptSince = 0
	m.ticked = m.sim.now - time.Duration(m.sim.rng.IntN(int(tickInterval)))
	m.sync = sparsync.New(m.vm, uint32(sparrank.Hash(m.vm.Name))+uint32(m.incarnation), m.sim.bound, beat)
	var seeds []string
	for _, seed := range m.sim.vms[:min(3, len(m.sim.vms))] {
		seeds = append(seeds, seed.vm.Control)
	}
	m.sync.Seeds(seeds)
}

func (m *member) kill() { m.running, m.incarnation = false, m.incarnation+1 }

func (s *sim) schedule(to *member, after time.Duration, do func()) {
	s.events = append(s.events, event{at: s.now + after, to: to, incarnation: to.incarnation, do: do})
}

// run advances the time by d and checks after each step that settings are in force in time.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += step
		due := s.events
		s.events = nil
		slices.SortStableFunc(due, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		for _, e := range due {
			switch {
			case e.at > s.now, e.to.paused && e.to.running && e.to.incarnation == e.incarnation:
				s.events = append(s.events, e)
			case e.to.running && e.to.incarnation == e.incarnation:
				e.do()
			}
		}
		for _, m := range s.vms {
			if m.running && !m.paused && (s.now-m.ticked >= tickInterval || !m.sync.Synced()) {
				m.ticked = s.now
				m.perform(m.sync.Tick(s.now))
			}
		}
		s.check()
	}
}

// check fails if a VM that has been healthy for longer than the bound holds older settings
// than those of the platform, or does not know that they are fresh.
func (s *sim) check() {
	for _, m := range s.vms {
		healthy := m.running && !m.paused && !m.refused && !m.silent
		if !healthy {
			m.healthySince = s.now
			continue
		}
		since := max(s.changed, m.healthySince)
		if m.held < s.revision {
			s.slowest = max(s.slowest, s.now-since)
		}
		if m.held < s.revision && s.now-since > s.bound {
			s.t.Fatalf("%v: %s holds revision %d of %d, %v after the change, %s", s.now, m.vm.Name, m.held, s.revision, s.now-since, m.sync.State())
		}
		if s.now-m.healthySince > s.bound && m.sync.Age(s.now) > s.bound {
			s.t.Fatalf("%v: settings of %s are %v old, %s", s.now, m.vm.Name, m.sync.Age(s.now), m.sync.State())
		}
	}
}

// change raises the revision of the platform.
func (s *sim) change() { s.revision, s.changed = s.revision+1, s.now }

// restore puts the platform back by a number of revisions, in its next era. Its writers then
// write again what is lost.
func (s *sim) restore(revisions uint64) {
	s.revision += eraStep - min(revisions, s.revision%eraStep-1)
	s.change()
}

func (s *sim) reachable(a, b *member) bool { return a.partition == b.partition && b.running }

func (s *sim) find(vm sparconfig.VM) *member {
	for _, m := range s.vms {
		if m.vm.Control == vm.Control {
			return m
		}
	}
	s.t.Fatalf("no VM %v", vm)
	return nil
}

// readers returns the VMs that read the platform.
func (s *sim) readers() []*member {
	var list []*member
	for _, m := range s.vms {
		if m.running && m.sync.State() == "reading" {
			list = append(list, m)
		}
	}
	return list
}

func (m *member) perform(outs []sparsync.Output) {
	s := m.sim
	for _, out := range outs {
		switch out := out.(type) {
		case sparsync.Read:
			m.read(out)
		case sparsync.ListVMs:
			m.readVMs()
		case sparsync.Pull:
			m.pull(out)
		case sparsync.SendQuery:
			m.send(out.To, func(to *member) []sparsync.Output {
				out.Query.From = to.sees(out.Query.From)
				return to.sync.Queried(out.Query, s.now)
			})
		case sparsync.Notify:
			m.notified++
			m.send(out.To, func(to *member) []sparsync.Output {
				out.Notification.From = to.sees(out.Notification.From)
				return to.sync.Notified(out.Notification, s.now)
			})
		case sparsync.Deregister:
			s.deregistered[out.Name]++
		case sparsync.Confirm:
			m.send(out.To, func(to *member) []sparsync.Output {
				to.sync.Confirmed(to.sees(m.vm), out.Timing, s.now)
				return nil
			})
		}
	}
}

func (m *member) send(vm sparconfig.VM, deliver func(to *member) []sparsync.Output) {
	s := m.sim
	s.sent[m.vm.Name]++
	m.bytes += datagram
	to := s.find(vm)
	if !s.reachable(m, to) || to.unreachable || s.rng.Float64() < s.loss {
		return
	}
	s.schedule(to, oneWay, func() { to.perform(deliver(to)) })
}

// readVMs reads the list of VMs from the platform.
func (m *member) readVMs() {
	s := m.sim
	s.calls++
	if m.silent || m.refused {
		s.schedule(m, callTime, func() { m.perform(m.sync.ListVMsFailed(s.now)) })
		return
	}
	s.schedule(m, callTime, func() { m.perform(m.sync.VMsListed(m.vmList(), s.now)) })
}

// read reads the platform: fully, or the changes after a position.
func (m *member) read(read sparsync.Read) {
	s := m.sim
	s.calls++
	began, after := s.now, read.After
	switch {
	case m.silent:
		s.schedule(m, callTimeout, func() { m.perform(m.sync.ReadFailed(s.now)) })
	case m.refused:
		s.schedule(m, callTime, func() { m.perform(m.sync.ReadFailed(s.now)) })
	default:
		size, revision := s.size, s.revision
		if !after.IsZero() {
			size = s.sizeAfter(after)
		}
		tooLarge := !after.IsZero() && size > read.Limit
		if tooLarge {
			size = read.Limit // more is not read
		}
		s.schedule(m, m.readTime(size), func() {
			s.read += changeSize
			m.bytes += changeSize
			if !after.IsZero() && after.Compare(at(revision)) < 0 {
				s.calls++
			}
			if !after.IsZero() && (after.Era != at(revision).Era || after.Compare(at(revision)) < 0 && s.withholding || tooLarge) {
				m.perform(m.sync.ReadIncomplete(tooLarge && read.Limit > 0, s.now))
				return
			}
			s.read += size
			m.bytes += size
			if !after.IsZero() {
				size = 0
			}
			m.adopt(revision)
			m.perform(m.sync.ReadDone(began, m.heldSettings(), size, s.now))
		})
	}
}

// sizeAfter returns the bytes of the changes after a position.
func (s *sim) sizeAfter(after sparregistry.Position) int {
	reached := at(s.revision)
	if after.Era != reached.Era || reached.Revision < after.Revision {
		return changeSize
	}
	return changeSize + int(reached.Revision-after.Revision)*s.changeSize
}

// readTime returns how long a read takes.
func (m *member) readTime(size int) time.Duration {
	s := m.sim
	if !s.slowLinks {
		return callTime
	}
	s.linkFree = max(s.linkFree, s.now) + transferTime(platformRate, size)
	return max(s.linkFree-s.now, transferTime(m.linkRate(), size)) + callTime
}

func (m *member) linkRate() int { return cmp.Or(m.rate, m.sim.linkRate) }

// transferTime returns how long it takes to transfer bytes over a link.
func transferTime(rate, bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(rate)
}

func (m *member) pull(pull sparsync.Pull) {
	s := m.sim
	from := s.find(pull.From)
	if pull.After.IsZero() {
		s.fullPulls++
	}
	if !s.reachable(m, from) {
		s.schedule(m, callTimeout, func() { m.perform(m.sync.PullFailed(s.now)) })
		return
	}
	began := s.now
	s.schedule(from, oneWay, func() {
		if !from.sync.Synced() {
			return
		}
		referral, ok := from.sync.Serve(from.sees(m.vm), from.large(pull))
		if !ok {
			s.schedule(m, oneWay, func() { m.perform(m.sync.PullRefused(m.sees(from.vm), m.sees(referral), s.now)) })
			return
		}
		from.serve(m, pull, began)
	})
}

// large reports whether m replies to a pull with a full copy or large changes.
func (m *member) large(pull sparsync.Pull) bool {
	return pull.After.IsZero() || m.changesAfter(pull.After) >= sparsync.LargePull
}

// changesAfter returns the bytes of the changes that m holds after a position. A document that
// has changed more than once is among them once.
func (m *member) changesAfter(after sparregistry.Position) int {
	if m.heldSettings().At.Compare(after) <= 0 {
		return changeSize
	}
	return min(int(m.held%eraStep-after.Revision)*m.sim.changeSize, m.sim.size)
}

// serve sends the settings of m to a peer.
func (m *member) serve(to *member, pull sparsync.Pull, began time.Duration) {
	s := m.sim
	large := m.large(pull)
	if large {
		m.serving++
		m.busiest = max(m.busiest, m.serving)
		s.busiest = max(s.busiest, m.serving)
	}
	took := time.Duration(0)
	size := m.changesAfter(pull.After)
	if pull.After.IsZero() {
		size = s.size
	}
	m.bytes += size / compression
	if s.slowLinks {
		m.linkFree = max(m.linkFree, s.now) + transferTime(m.linkRate(), size/compression)
		took = max(m.linkFree-s.now, transferTime(to.linkRate(), size/compression))
	}
	held, age, reader := m.held, m.sync.Age(s.now), m.sync.Reader()
	s.schedule(m, took, func() {
		if large {
			m.serving--
		}
		m.sync.Served(m.sees(to.vm), large, held, true)
	})
	for passed := progressTime; passed < took; passed += progressTime {
		s.schedule(to, passed, func() { to.sync.PullProgressed(s.now) })
	}
	s.schedule(to, took+oneWay, func() {
		to.adopt(held)
		to.perform(to.sync.Pulled(to.sees(m.vm), reader, began-age, true, s.now))
	})
}

// heldSettings returns what m holds. It is complete at no revision while entries are kept.
func (m *member) heldSettings() sparsync.Held {
	held := sparsync.Held{At: at(m.held), Digest: m.held}
	if m.keptSince > 0 && m.sim.now-m.keptSince < keepTime {
		held.At.Revision = 0
	}
	return held
}

func (m *member) adopt(revision uint64) {
	if m.held > 0 && at(revision).Era > at(m.held).Era {
		m.keptSince = m.sim.now
		m.sync.Restored(m.sim.now)
	}
	m.held = max(m.held, revision)
	if m.readyAt == 0 {
		m.readyAt = m.sim.now
	}
	m.sync.SetHeld(m.heldSettings())
	if m.listVersion == 1+len(m.sim.deregistered) {
		return // m has this list
	}
	m.listVersion = 1 + len(m.sim.deregistered)
	m.sync.List(m.vmList(), m.sim.now)
}

// vmList returns the registered VMs as m decodes their entries.
func (m *member) vmList() []sparconfig.VM {
	var vms []sparconfig.VM
	for _, other := range m.sim.vms {
		if m.sim.deregistered[other.vm.Name] == 0 && (!m.old || other.vm.Size == 0) {
			vms = append(vms, other.vm)
		}
	}
	return vms
}

// sees returns vm as m decodes it from a message. An older build leaves out the class there, and
// refuses entries that have one.
func (m *member) sees(vm sparconfig.VM) sparconfig.VM {
	if m.old {
		vm.Size = 0
	}
	return vm
}

// assertFullPulls checks that no VM has served more full copies and large changes at once than VMs of one
// class may.
func (s *sim) assertFullPulls(t *testing.T) {
	t.Helper()
	const most = 2
	if s.busiest > most {
		t.Errorf("a VM hands its settings to %d at once, want at most %d", s.busiest, most)
	}
}
