package sparsync_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	step     = 10 * time.Millisecond
	bound    = 3 * time.Second  // settings in force, at today's sites
	farBound = 20 * time.Second // at the size of two years from now
	hop      = 2 * time.Millisecond
	callTime = 8 * time.Millisecond
	callEnd  = 900 * time.Millisecond // a silent platform
	tickTime = 50 * time.Millisecond

	smallSettings = 4_000     // bytes, read whole each time
	largeSettings = 2_300_000 // bytes of 7,800 upstreams and 1,300 routes
	changeSize    = 500       // bytes of a change and of a call that brings none
	datagram      = 150       // bytes of a notice with its headers
	packing       = 3         // how many times smaller a share is than what it holds

	linkRate    = 20_000_000 / 8    // bytes a second of a VM's link
	storeRate   = 1_000_000_000 / 8 // of the platform's
	pullTimeout = 1500 * time.Millisecond
	pageSize    = 1_000_000 // bytes of a call's answer
)

type (
	// lab runs VMs against a platform and a network of its own. Settings are their
	// revision alone.
	lab struct {
		t        *testing.T
		r        *rand.Rand
		now      time.Duration
		revision uint64
		changed  time.Duration // when the revision last rose
		vms      []*member
		events   []event
		calls    int
		wholes   int            // pulls of everything
		sent     map[string]int // datagrams by VM
		lost     float64
		bound    time.Duration
		size     int            // bytes of a whole reading
		read     int            // bytes of all readings
		unlisted map[string]int // by VM, how often its entry was to be taken out
		hiding   bool           // the platform keeps the latest changes back
		slowest  time.Duration  // from a change to its being held everywhere it must be
		links    bool           // what is read and pulled takes its time on the links
		link     time.Duration  // until which the platform's link is in use
		busiest  int            // most pulls served at once by one VM
	}

	member struct {
		lab     *lab
		vm      sparconfig.VM
		sync    *sparsync.Sync
		held    uint64
		life    int
		running bool
		ticked  time.Duration
		// what stands between this VM and the others
		refused, silent, deaf bool
		link                  time.Duration // until which the VM's link is in use
		serving               int
		listed                int           // which list of VMs it has taken
		readyAt               time.Duration // when it first held settings since its start
		side                  int           // VMs of different sides do not reach each other
		calmSince             time.Duration
	}

	event struct {
		at   time.Duration
		to   *member
		life int
		do   func()
	}
)

func newLab(t *testing.T, n int) *lab { return newBoundLab(t, n, bound) }

func newBoundLab(t *testing.T, n int, bound time.Duration) *lab {
	l := &lab{t: t, bound: bound, r: rand.New(rand.NewPCG(1, uint64(n))), revision: 10, size: smallSettings, sent: map[string]int{}, unlisted: map[string]int{}}
	for i := range n {
		vm := sparconfig.VM{Name: fmt.Sprintf("vm-%d", i), Domain: fmt.Sprintf("domain-%d", i%3), Control: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250+1)}
		l.vms = append(l.vms, &member{lab: l, vm: vm})
	}
	for _, m := range l.vms {
		m.start()
	}
	return l
}

func (m *member) start() {
	m.life++
	m.running, m.held, m.calmSince, m.readyAt, m.serving, m.listed = true, 0, m.lab.now, 0, 0, 0
	m.ticked = m.lab.now - time.Duration(m.lab.r.IntN(int(tickTime)))
	m.sync = sparsync.New(m.vm, m.lab.bound)
	var seeds []string
	for _, seed := range m.lab.vms[:min(3, len(m.lab.vms))] {
		seeds = append(seeds, seed.vm.Control)
	}
	m.sync.Seeds(seeds)
}

func (m *member) kill() { m.running, m.life = false, m.life+1 }

func (l *lab) later(to *member, after time.Duration, do func()) {
	l.events = append(l.events, event{at: l.now + after, to: to, life: to.life, do: do})
}

// run lets time pass and checks after each step that settings are in force in time.
func (l *lab) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.now += step
		due := l.events
		l.events = nil
		slices.SortStableFunc(due, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		for _, e := range due {
			switch {
			case e.at > l.now:
				l.events = append(l.events, e)
			case e.to.running && e.to.life == e.life:
				e.do()
			}
		}
		for _, m := range l.vms {
			if m.running && (l.now-m.ticked >= tickTime || !m.sync.Synced()) {
				m.ticked = l.now
				m.perform(m.sync.Tick(l.now))
			}
		}
		l.check()
	}
}

// check fails where a VM that had its paths for long enough holds older settings
// than those in force, or does not know how old they are.
func (l *lab) check() {
	for _, m := range l.vms {
		calm := m.running && !m.refused && !m.silent
		if !calm {
			m.calmSince = l.now
			continue
		}
		since := max(l.changed, m.calmSince)
		if m.held < l.revision {
			l.slowest = max(l.slowest, l.now-since)
		}
		if m.held < l.revision && l.now-since > l.bound {
			l.t.Fatalf("%v: %s holds revision %d of %d, %v after the change, %s", l.now, m.vm.Name, m.held, l.revision, l.now-since, m.sync.State())
		}
		if l.now-m.calmSince > l.bound && m.sync.Age(l.now) > l.bound {
			l.t.Fatalf("%v: settings of %s are %v old, %s", l.now, m.vm.Name, m.sync.Age(l.now), m.sync.State())
		}
	}
}

// change raises the revision of the platform.
func (l *lab) change() { l.revision, l.changed = l.revision+1, l.now }

func (l *lab) reachable(a, b *member) bool { return a.side == b.side && b.running }

func (l *lab) find(vm sparconfig.VM) *member {
	for _, m := range l.vms {
		if m.vm.Control == vm.Control {
			return m
		}
	}
	l.t.Fatalf("no VM %v", vm)
	return nil
}

// readers returns the VMs that read the platform.
func (l *lab) readers() []*member {
	var list []*member
	for _, m := range l.vms {
		if m.running && m.sync.State() == "reading" {
			list = append(list, m)
		}
	}
	return list
}

func (m *member) perform(outs []sparsync.Output) {
	l := m.lab
	for _, out := range outs {
		switch out := out.(type) {
		case sparsync.Read:
			m.read(out.After)
		case sparsync.Peek:
			m.peek()
		case sparsync.Ask:
			m.pull(out)
		case sparsync.Enquire:
			m.send(out.To, func(to *member) []sparsync.Output { return to.sync.Asked(out.Query, l.now) })
		case sparsync.Notify:
			m.send(out.To, func(to *member) []sparsync.Output { return to.sync.Heard(out.Notice, l.now) })
		case sparsync.Unlist:
			l.unlisted[out.Name]++
		case sparsync.Confirm:
			m.send(out.To, func(to *member) []sparsync.Output {
				to.sync.Confirmed(m.vm, l.now)
				return nil
			})
		}
	}
}

func (m *member) send(vm sparconfig.VM, deliver func(to *member) []sparsync.Output) {
	l := m.lab
	l.sent[m.vm.Name]++
	to := l.find(vm)
	if !l.reachable(m, to) || to.deaf || l.r.Float64() < l.lost {
		return
	}
	l.later(to, hop, func() { to.perform(deliver(to)) })
}

// peek reads the list of VMs.
func (m *member) peek() {
	l := m.lab
	l.calls++
	if m.silent || m.refused {
		l.later(m, callTime, func() { m.perform(m.sync.PeekFailed(l.now)) })
		return
	}
	l.later(m, callTime, func() { m.perform(m.sync.Peeked(l.vmList(), l.now)) })
}

// read reads the platform: everything, or the revision and what has changed.
func (m *member) read(after uint64) {
	l := m.lab
	l.calls++
	began := l.now
	switch {
	case m.silent:
		l.later(m, callEnd, func() { m.perform(m.sync.ReadFailed(l.now)) })
	case m.refused:
		l.later(m, callTime, func() { m.perform(m.sync.ReadFailed(l.now)) })
	default:
		took, ok := l.transfer(after)
		if !ok {
			l.later(m, callEnd, func() { m.perform(m.sync.ReadFailed(l.now)) })
			return
		}
		l.later(m, took, func() {
			l.read += changeSize
			if after > 0 && after < l.revision {
				l.calls++
			}
			if after > 0 && after < l.revision && l.hiding {
				m.perform(m.sync.ReadBroken(l.now))
				return
			}
			size := 0
			if after == 0 {
				size = l.size
				l.read += size
			}
			m.hold(l.revision)
			m.perform(m.sync.ReadDone(began, m.holds(), size, l.now))
		})
	}
}

// transfer returns how long a reading takes. It reports false where one of its calls
// takes longer than a VM waits.
func (l *lab) transfer(after uint64) (took time.Duration, ok bool) {
	if !l.links || after > 0 {
		return callTime, true
	}
	l.link = max(l.link, l.now) + on(storeRate, l.size)
	took = max(l.link-l.now, on(linkRate, l.size)) + callTime
	pages := (l.size + pageSize - 1) / pageSize
	return took, took/time.Duration(pages) < callEnd
}

// on returns how long bytes take on a link.
func on(rate, bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(rate)
}

func (m *member) pull(ask sparsync.Ask) {
	l := m.lab
	from := l.find(ask.From)
	if ask.After == 0 {
		l.wholes++
	}
	if !l.reachable(m, from) {
		l.later(m, callEnd, func() { m.perform(m.sync.PullFailed(l.now)) })
		return
	}
	began := l.now
	l.later(from, hop, func() {
		if !from.sync.Synced() {
			return
		}
		elsewhere, ok := from.sync.Serve(m.vm, ask.After)
		if !ok {
			l.later(m, hop, func() { m.perform(m.sync.PullBusy(from.vm, elsewhere, l.now)) })
			return
		}
		from.serve(m, ask, began)
	})
}

// serve hands the settings of m to a peer.
func (m *member) serve(to *member, ask sparsync.Ask, began time.Duration) {
	l := m.lab
	if ask.After == 0 {
		m.serving++
		l.busiest = max(l.busiest, m.serving)
	}
	took := time.Duration(0)
	if l.links {
		size := changeSize
		if ask.After == 0 {
			size = l.size / packing
		}
		m.link = max(m.link, l.now) + on(linkRate, size)
		took = m.link - l.now
	}
	held, age, reader := m.held, m.sync.Age(l.now), m.sync.Reader()
	late := l.now+took-began > pullTimeout
	l.later(m, min(took, pullTimeout), func() {
		if ask.After == 0 {
			m.serving--
		}
		m.sync.Served(to.vm, ask.After, held, !late)
	})
	if late {
		l.later(to, pullTimeout, func() { to.perform(to.sync.PullFailed(l.now)) })
		return
	}
	l.later(to, took+hop, func() {
		to.hold(held)
		to.perform(to.sync.Pulled(m.vm, reader, began-age, true, l.now))
	})
}

func (m *member) holds() sparsync.Held { return sparsync.Held{Revision: m.held, Digest: m.held} }

func (m *member) hold(revision uint64) {
	m.held = max(m.held, revision)
	if m.readyAt == 0 {
		m.readyAt = m.lab.now
	}
	m.sync.Holds(m.holds())
	if m.listed == 1+len(m.lab.unlisted) {
		return // the list is the one that it has
	}
	m.listed = 1 + len(m.lab.unlisted)
	m.sync.List(m.lab.vmList(), m.lab.now)
}

func (l *lab) vmList() []sparconfig.VM {
	var vms []sparconfig.VM
	for _, other := range l.vms {
		if l.unlisted[other.vm.Name] == 0 {
			vms = append(vms, other.vm)
		}
	}
	return vms
}
