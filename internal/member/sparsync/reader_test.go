package sparsync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// TestLargeSettingsAreReadIncrementally checks that large settings are in force in time while
// the reads stay within the limit on control traffic, and within a larger one if the platform
// omits changes for some time.
func TestLargeSettingsAreReadIncrementally(t *testing.T) {
	tests := []struct {
		name        string
		withholding bool // the platform omits changes for 3 of 20 s
		bound       int  // bytes a second
	}{
		{"all changes are returned", false, 8_000},
		{"changes are omitted for a while", true, 4 * largeSettings / 20 * 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSim(t, 90)
			s.size = largeSettings
			s.churn(10 * time.Second)
			s.read = 0
			s.churn(10 * time.Second)
			s.withholding = test.withholding
			s.churn(3 * time.Second)
			s.withholding = false
			s.churn(7 * time.Second)
			if rate := s.read / 20; rate > test.bound {
				t.Errorf("%d bytes a second read, want at most %d", rate, test.bound)
			}
		})
	}
}

// TestLargeDocumentOnSlowLinks guards against reads and pulls that never end: a document of the
// largest size changes, once in a while and in quick succession, on the slowest links of the
// sites that have so many VMs, and all VMs start at once beside it.
func TestLargeDocumentOnSlowLinks(t *testing.T) {
	const (
		document = 1_400_000        // bytes as read from the platform
		recovery = 15 * time.Second // from a black start until all serve
	)
	for _, site := range []struct {
		n     int
		rate  int // bytes a second
		bound time.Duration
	}{
		{3, 10_000_000 / 8, 5 * time.Second},
		{80, 10_000_000 / 8, 5 * time.Second},
		{295, 20_000_000 / 8, 6 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d VMs", site.n), func(t *testing.T) {
			s := newBoundSim(t, site.n, site.bound)
			s.slowLinks, s.linkRate, s.size, s.changeSize = true, site.rate, document+50_000, document
			s.run(2 * site.bound)
			for range 4 {
				s.change()
				s.run(2 * site.bound)
			}
			for range 12 {
				s.change()
				s.run(330 * time.Millisecond)
			}
			s.run(2 * site.bound)
			s.restart(s.vms, time.Second)
			s.waitReady(recovery)
			s.churn(2 * site.bound)
			s.assertFullPulls(t)
		})
	}
}

// TestChangesAboveTheirLimit checks that changes which are too large are replaced by a full read, that
// the next ones are as well for a while, and that small ones are read again after that.
func TestChangesAboveTheirLimit(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, run, bound, beat)
	now := time.Millisecond
	s.Tick(now)
	s.ReadDone(now, sparsync.Held{At: at(7), Digest: 42}, largeSettings, now)
	var limits []int
	for range 10 {
		now += bound / 2
		for _, out := range s.Tick(now) {
			r, ok := out.(sparsync.Read)
			if !ok {
				continue
			}
			limits = append(limits, r.Limit)
			if outs := s.ReadIncomplete(r.Limit > 0 && len(limits) == 1, now); !hasRead(outs) {
				t.Fatalf("%v, want a full read", outs)
			}
			s.ReadDone(now, sparsync.Held{At: at(7), Digest: 42}, largeSettings, now)
		}
	}
	full := largeSettings / 4
	if want := fmt.Sprint([]int{full, 0, 0, 0, full}); len(limits) < 5 || fmt.Sprint(limits[:5]) != want {
		t.Errorf("limits %v, want %s first", limits, want)
	}
}

// TestFullReadAfterAnOutage checks that a reader does not read incrementally while entries
// that have expired during an outage may come back.
func TestFullReadAfterAnOutage(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, run, 3*time.Second, beat)
	s.Tick(1)
	now := 10 * time.Millisecond
	s.ReadDone(1, sparsync.Held{At: at(7), Digest: 42}, largeSettings, now)
	s.SetHeld(sparsync.Held{At: at(7), Digest: 42})
	next := func() sparsync.Read {
		for range 1000 {
			now += 50 * time.Millisecond
			for _, out := range s.Tick(now) {
				if r, ok := out.(sparsync.Read); ok {
					return r
				}
			}
		}
		t.Fatal("no read")
		return sparsync.Read{}
	}
	if r := next(); r.After != at(7) {
		t.Errorf("reads changes after %d, want 7", r.After)
	}
	s.ReadFailed(now)
	if r := next(); !r.After.IsZero() {
		t.Errorf("after a failure: reads changes after %d, want a full read", r.After)
	}
	s.ReadDone(now, sparsync.Held{At: at(7), Digest: 42}, largeSettings, now)
	if r := next(); !r.After.IsZero() {
		t.Errorf("while the platform settles: reads changes after %d, want a full read", r.After)
	}
	s.ReadDone(now, sparsync.Held{At: at(7), Digest: 42}, largeSettings, now)
	now += 3 * time.Second
	if r := next(); r.After != at(7) {
		t.Errorf("once it has settled: reads changes after %d, want 7", r.After)
	}
}

// TestChangesThatDoNotSuffice pulls from a peer that has started recently. Its changes leave
// this VM at the revision that it had, so a full copy must be pulled at once.
func TestChangesThatDoNotSuffice(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, run, 3*time.Second, beat)
	s.Tick(1)
	now := 10 * time.Millisecond
	s.ReadDone(1, sparsync.Held{At: at(7), Digest: 42}, smallSettings, now)
	peer := sparconfig.VM{Name: "vm-2", Control: "10.0.0.2:1"}
	after := func(outs []sparsync.Output) uint64 {
		t.Helper()
		for _, out := range outs {
			if pull, ok := out.(sparsync.Pull); ok {
				return pull.After.Revision
			}
		}
		t.Fatalf("no pull among %v", outs)
		return 0
	}
	outs := s.Notified(sparsync.Notification{From: peer, Reader: "vm-2", Round: 1, At: at(9), Digest: 43, Timing: echo(now)}, now)
	if got := after(outs); got != 7 {
		t.Errorf("pulls changes after %d, want 7", got)
	}
	s.SetHeld(sparsync.Held{At: at(7), Digest: 41})
	if got := after(s.Pulled(peer, "vm-2", now, false, now)); got != 0 {
		t.Errorf("then pulls changes after %d, want a full copy", got)
	}
	s.SetHeld(sparsync.Held{At: at(9), Digest: 43})
	for _, out := range s.Pulled(peer, "vm-2", now, true, now) {
		if _, ok := out.(sparsync.Pull); ok {
			t.Error("pulls again after a full copy")
		}
	}
}

// TestReplacedVMsAreDeregistered kills VMs for good, then cuts the reader off from the other
// VMs. The entries of dead VMs must be removed, and those of running VMs must stay.
func TestReplacedVMsAreDeregistered(t *testing.T) {
	s := newSim(t, 8)
	s.churn(5 * time.Second)
	dead := []*member{s.vms[3], s.reader()}
	for _, m := range dead {
		m.kill()
	}
	for range 70 {
		s.change()
		s.run(10 * time.Second)
	}
	for _, m := range s.vms {
		if got := s.deregistered[m.vm.Name]; m.running && got != 0 || !m.running && got != 1 {
			t.Errorf("%s, running: %v, was deregistered %d times", m.vm.Name, m.running, got)
		}
	}
	clear(s.deregistered)
	for _, m := range dead {
		s.deregistered[m.vm.Name] = 1
	}
	s.reader().partition = 1
	for range 70 {
		s.change()
		s.run(10 * time.Second)
	}
	for _, m := range s.vms {
		if m.running && m.partition == 0 && s.deregistered[m.vm.Name] > 0 {
			t.Errorf("%s was deregistered by a VM that receives nothing", m.vm.Name)
		}
	}
}

// TestSlowFirstRead covers a fleet that starts before its seeds: many VMs read at once, so
// that a first read takes seconds. Once it takes longer than usual, settings must be pulled
// from a peer, one pull at a time.
func TestSlowFirstRead(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, run, 3*time.Second, beat)
	peer := sparconfig.VM{Name: "vm-2", Control: "10.0.0.2:1"}
	now := time.Millisecond
	s.Tick(now)
	pulls := func() (n int) {
		outs := s.Notified(sparsync.Notification{From: peer, Reader: "vm-2", Round: 1, At: at(9), Digest: 43, Timing: echo(now)}, now)
		for _, out := range append(outs, s.Tick(now)...) {
			if _, ok := out.(sparsync.Pull); ok {
				n++
			}
		}
		return n
	}
	for range 2 {
		now += 50 * time.Millisecond
		if got := pulls(); got > 0 {
			t.Fatalf("%d pulls during a read that has just begun", got)
		}
	}
	total := 0
	for range 10 {
		now += 50 * time.Millisecond
		total += pulls()
	}
	if total != 1 {
		t.Errorf("%d pulls within 500 ms during a slow read, want 1", total)
	}
}
