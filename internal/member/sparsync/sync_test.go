package sparsync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// ExampleSync starts a VM that knows nothing: it reads the platform at once.
func ExampleSync() {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, 3*time.Second)
	for _, out := range s.Tick(time.Millisecond) {
		if _, ok := out.(sparsync.Read); ok {
			fmt.Println("read")
		}
	}
	s.ReadDone(time.Millisecond, sparsync.Held{Revision: 7, Digest: 42}, 4000, 9*time.Millisecond)
	fmt.Println(s.State(), s.Fresh(time.Second), s.Fresh(2*time.Second))
	// Output:
	// read
	// following true false
}

// changing lets time pass with a change every now and then.
func (l *lab) changing(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.change()
		l.run(700 * time.Millisecond)
	}
}

func (l *lab) reader() *member {
	readers := l.readers()
	if len(readers) == 0 {
		l.t.Fatal("nobody reads the platform")
	}
	return readers[0]
}

func TestOneReads(t *testing.T) {
	for _, n := range []int{2, 8, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			l := newLab(t, n)
			l.changing(10 * time.Second)
			l.calls = 0
			clear(l.sent)
			l.changing(60 * time.Second)
			if got := len(l.readers()); got != 1 {
				t.Errorf("%d VMs read the platform, want 1", got)
			}
			// One reading for each share of the bound, and as much again for takeovers.
			if most := 2 * int(60*time.Second/(bound/4)); l.calls > most {
				t.Errorf("%d calls in 60 s, want at most %d", l.calls, most)
			}
			for name, sent := range l.sent {
				if bytes := sent * datagram / 60; bytes > 8000 {
					t.Errorf("%s sends %d bytes a second, want at most 8,000", name, bytes)
				}
			}
		})
	}
}

func TestReaderFails(t *testing.T) {
	faults := []struct {
		name string
		do   func(l *lab, reader *member)
	}{
		{"killed", func(_ *lab, r *member) { r.kill() }},
		{"cut from the platform", func(_ *lab, r *member) { r.silent = true }},
		{"refused by the platform", func(_ *lab, r *member) { r.refused = true }},
		{"deaf", func(_ *lab, r *member) { r.deaf = true }},
		{"cut from all", func(_ *lab, r *member) { r.side, r.silent = 1, true }},
		{"cut from the other VMs", func(_ *lab, r *member) { r.side = 1 }},
	}
	for _, f := range faults {
		for _, one := range []struct {
			n, size int
		}{{8, smallSettings}, {90, smallSettings}, {90, largeSettings}} {
			t.Run(fmt.Sprintf("%s of %d, %d bytes", f.name, one.n, one.size), func(t *testing.T) {
				l := newLab(t, one.n)
				l.size = one.size
				l.changing(5 * time.Second)
				for range 4 {
					r := l.reader()
					f.do(l, r)
					l.changing(6 * time.Second)
					r.silent, r.refused, r.deaf, r.side = false, false, false, 0
					if !r.running {
						r.start()
					}
					l.changing(4 * time.Second)
				}
			})
		}
	}
}

func TestReaderSuspended(t *testing.T) {
	l := newLab(t, 8)
	l.changing(5 * time.Second)
	r := l.reader()
	r.running = false
	l.changing(8 * time.Second)
	r.running, r.calmSince = true, l.now
	if r.sync.Fresh(l.now) {
		t.Error("a VM that was suspended takes its settings to be fresh")
	}
	l.changing(8 * time.Second)
	if got := len(l.readers()); got != 1 {
		t.Errorf("%d VMs read the platform, want 1", got)
	}
}

func TestHalfKilled(t *testing.T) {
	l := newLab(t, 90)
	l.changing(5 * time.Second)
	for i, m := range l.vms {
		if i%2 == 0 {
			m.kill()
		}
	}
	l.changing(10 * time.Second)
	for _, m := range l.vms {
		if !m.running {
			m.start()
		}
	}
	l.changing(10 * time.Second)
}

func TestDomainCut(t *testing.T) {
	for _, name := range []string{"platform on the other side", "platform reached"} {
		t.Run(name, func(t *testing.T) {
			l := newLab(t, 40)
			l.changing(5 * time.Second)
			for i, m := range l.vms {
				if i%4 == 0 {
					m.side, m.silent = 1, name == "platform on the other side"
				}
			}
			l.changing(8 * time.Second)
			for _, m := range l.vms {
				m.side, m.silent = 0, false
			}
			l.changing(8 * time.Second)
		})
	}
}

// TestStartBehindACut starts a VM whose platform and other peers are out of reach,
// beside one that holds settings and does not know that it has come back.
func TestStartBehindACut(t *testing.T) {
	l := newLab(t, 8)
	l.changing(5 * time.Second)
	keeper, late := l.vms[2], l.vms[5]
	late.kill()
	for _, m := range []*member{keeper, late} {
		m.side, m.silent = 1, true
	}
	l.run(time.Second)
	late.start()
	l.run(2500 * time.Millisecond)
	if !late.sync.Synced() || late.held != keeper.held {
		t.Errorf("the VM is %s with revision %d, want those of its neighbour, %d", late.sync.State(), late.held, keeper.held)
	}
}

func TestPlatformAway(t *testing.T) {
	l := newLab(t, 90)
	l.changing(5 * time.Second)
	l.calls = 0
	for _, m := range l.vms {
		m.silent = true
	}
	l.run(10 * time.Second)
	// Each VM tries once per retry at its longest, and a few times before that.
	if most := 90 * 10; l.calls > most {
		t.Errorf("%d calls while the platform is away, want at most %d", l.calls, most)
	}
	for _, m := range l.vms {
		m.silent = false
	}
	l.changing(10 * time.Second)
}

func TestLostNotices(t *testing.T) {
	l := newLab(t, 40)
	l.lost = 0.1
	l.changing(40 * time.Second)
}

func TestAllStartAtOnce(t *testing.T) {
	l := newLab(t, 90)
	l.changing(5 * time.Second)
	for _, m := range l.vms {
		m.kill()
	}
	l.run(time.Second)
	l.calls = 0
	for _, m := range l.vms {
		m.start()
	}
	l.run(100 * time.Millisecond)
	for _, m := range l.vms {
		if !m.sync.Synced() {
			t.Fatalf("%s is %s 100 ms after its start", m.vm.Name, m.sync.State())
		}
	}
	if l.calls > 90 {
		t.Errorf("%d calls for 90 starts", l.calls)
	}
	if l.wholes > 0 {
		t.Errorf("%d pulls of everything from peers while the platform answers", l.wholes)
	}
}

func TestSettling(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, bound)
	s.ReadFailed(time.Second)
	s.ReadDone(2*time.Second, sparsync.Held{Revision: 1}, smallSettings, 2*time.Second)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, true}, {2 * time.Second, true}, {3 * time.Second, false}} {
		if got := s.Settling(2*time.Second + c.after); got != c.want {
			t.Errorf("%v after the platform's return: settling is %v", c.after, got)
		}
	}
}

// TestReplacedVMsAreForgotten lists other VMs each minute, and checks that those which
// left hold up no takeover: the first in the order reads once settings are old.
func TestReplacedVMsAreForgotten(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-0"}, bound)
	now := time.Second
	for n := range 200 {
		now += time.Minute
		s.List([]sparconfig.VM{{Name: fmt.Sprintf("other-%d", n)}}, now)
	}
	s.List(nil, now)
	s.ReadDone(now, sparsync.Held{Revision: 1, Digest: 1}, smallSettings, now)
	for _, out := range s.Tick(now + bound/2) {
		if _, ok := out.(sparsync.Read); ok {
			return
		}
	}
	t.Error("a VM that is alone waits for VMs that left")
}

// TestLargeSettingsAreReadByChange plays the reader of a fleet, whose settings are in
// force in time while it stays within what a VM may spend on control.
func TestLargeSettingsAreReadByChange(t *testing.T) {
	tests := []struct {
		name   string
		hiding bool // changes are kept back for 3 of 20 s
		bound  int  // bytes a second
	}{
		{"changes are told", false, 8_000},
		{"changes are kept back for a while", true, 4 * largeSettings / 20 * 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newLab(t, 90)
			l.size = largeSettings
			l.changing(10 * time.Second)
			l.read = 0
			l.changing(10 * time.Second)
			l.hiding = test.hiding
			l.changing(3 * time.Second)
			l.hiding = false
			l.changing(7 * time.Second)
			if rate := l.read / 20; rate > test.bound {
				t.Errorf("%d bytes a second read, want at most %d", rate, test.bound)
			}
		})
	}
}

// TestWholeReadingAfterAnOutage checks that a reader does not rely on changes while
// entries that have lapsed may come back.
func TestWholeReadingAfterAnOutage(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, 3*time.Second)
	s.Tick(1)
	now := 10 * time.Millisecond
	s.ReadDone(1, sparsync.Held{Revision: 7, Digest: 42}, largeSettings, now)
	s.Holds(sparsync.Held{Revision: 7, Digest: 42})
	next := func() sparsync.Read {
		for range 1000 {
			now += 50 * time.Millisecond
			for _, out := range s.Tick(now) {
				if r, ok := out.(sparsync.Read); ok {
					return r
				}
			}
		}
		t.Fatal("no reading")
		return sparsync.Read{}
	}
	if r := next(); r.After != 7 {
		t.Errorf("reads what changed after %d, want 7", r.After)
	}
	s.ReadFailed(now)
	if r := next(); r.After != 0 {
		t.Errorf("after a failure: what changed after %d, want everything", r.After)
	}
	s.ReadDone(now, sparsync.Held{Revision: 7, Digest: 42}, largeSettings, now)
	if r := next(); r.After != 0 {
		t.Errorf("while the platform settles: what changed after %d, want everything", r.After)
	}
	s.ReadDone(now, sparsync.Held{Revision: 7, Digest: 42}, largeSettings, now)
	now += 3 * time.Second
	if r := next(); r.After != 7 {
		t.Errorf("once it has settled: what changed after %d, want 7", r.After)
	}
}

// TestChangesThatDoNotSuffice pulls from a peer that has started lately: what it shares
// leaves this VM at its own revision, and everything is asked for at once.
func TestChangesThatDoNotSuffice(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, 3*time.Second)
	s.Tick(1)
	now := 10 * time.Millisecond
	s.ReadDone(1, sparsync.Held{Revision: 7, Digest: 42}, smallSettings, now)
	peer := sparconfig.VM{Name: "vm-2", Control: "10.0.0.2:1"}
	after := func(outs []sparsync.Output) uint64 {
		t.Helper()
		for _, out := range outs {
			if ask, ok := out.(sparsync.Ask); ok {
				return ask.After
			}
		}
		t.Fatalf("no pull among %v", outs)
		return 0
	}
	outs := s.Heard(sparsync.Notice{From: peer, Reader: "vm-2", Round: 1, Revision: 9, Digest: 43}, now)
	if got := after(outs); got != 7 {
		t.Errorf("asks for what changed after %d, want 7", got)
	}
	s.Holds(sparsync.Held{Revision: 7, Digest: 41})
	if got := after(s.Pulled(peer, "vm-2", now, false, now)); got != 0 {
		t.Errorf("then for what changed after %d, want everything", got)
	}
	s.Holds(sparsync.Held{Revision: 9, Digest: 43})
	for _, out := range s.Pulled(peer, "vm-2", now, true, now) {
		if _, ok := out.(sparsync.Ask); ok {
			t.Error("asks again after everything came")
		}
	}
}

// TestReplacedVMsAreUnlisted kills VMs for good, and cuts the reader off from the others:
// the entries of the dead are taken out, those of the living stay.
func TestReplacedVMsAreUnlisted(t *testing.T) {
	l := newLab(t, 8)
	l.changing(5 * time.Second)
	dead := []*member{l.vms[3], l.reader()}
	for _, m := range dead {
		m.kill()
	}
	for range 70 {
		l.change()
		l.run(10 * time.Second)
	}
	for _, m := range l.vms {
		if got := l.unlisted[m.vm.Name]; m.running && got != 0 || !m.running && got != 1 {
			t.Errorf("%s, running: %v, was unlisted %d times", m.vm.Name, m.running, got)
		}
	}
	clear(l.unlisted)
	for _, m := range dead {
		l.unlisted[m.vm.Name] = 1
	}
	l.reader().side = 1
	for range 70 {
		l.change()
		l.run(10 * time.Second)
	}
	for _, m := range l.vms {
		if m.running && m.side == 0 && l.unlisted[m.vm.Name] > 0 {
			t.Errorf("%s was unlisted by a VM that hears nobody", m.vm.Name)
		}
	}
}

// TestSlowFirstReading is the pattern of a whole fleet that starts at once: a first reading
// takes seconds but goes on. Notices meanwhile pull nothing, until it stalls.
func TestSlowFirstReading(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, 3*time.Second)
	peer := sparconfig.VM{Name: "vm-2", Control: "10.0.0.2:1"}
	s.Tick(1)
	now := time.Duration(1)
	pulls := func() (n int) {
		outs := s.Heard(sparsync.Notice{From: peer, Reader: "vm-2", Round: 1, Revision: 9, Digest: 43}, now)
		for _, out := range append(outs, s.Tick(now)...) {
			if _, ok := out.(sparsync.Ask); ok {
				n++
			}
		}
		return n
	}
	for range 10 {
		now += 250 * time.Millisecond
		if got := pulls(); got > 0 {
			t.Fatalf("%d pulls beside a reading that goes on", got)
		}
		s.ReadMoved(now)
	}
	now += 350 * time.Millisecond
	if got := pulls(); got != 1 {
		t.Errorf("%d pulls beside a reading that has stalled, want 1", got)
	}
}
