package sparsync_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	largeClass = 4
	smallClass = 2
	largeRate  = 200_000_000 / 8 // bytes a second, of the link of a large VM
	smallRate  = 10_000_000 / 8  // and of a small one
)

// uneven is a deployment whose VMs differ by 20 in link: every eighth is large.
type uneven struct {
	n, size  int
	inDomain bool // all large VMs are of domain-0
	unknown  bool // no class is known
}

var unevenFleets = []uneven{{n: 8, size: smallSettings}, {n: 64, size: 250_000}, {n: 64, size: 250_000, inDomain: true}, {n: 300, size: 650_000}}

func (u uneven) String() string {
	return fmt.Sprintf("%d VMs, in one domain %v", u.n, u.inDomain)
}

// start returns a simulation of u that has run for a while.
func (u uneven) start(t *testing.T) *sim {
	s := newSim(t, u.n)
	s.size, s.slowLinks = u.size, true
	for i, m := range s.vms {
		m.rate, m.vm.Size = smallRate, smallClass
		if u.large(i) {
			m.rate, m.vm.Size = largeRate, largeClass
		}
		if u.unknown {
			m.vm.Size = 0
		}
		m.start()
	}
	s.churn(6 * time.Second)
	return s
}

// large reports whether the VM i of u is large. The seeds, which have the lowest numbers, are not.
func (u uneven) large(i int) bool {
	if u.inDomain {
		return i%3 == 0 && i/3%3 == 1 && i/3 < u.n/8*3
	}
	return i%8 == 4
}

func (s *sim) ofRate(rate int) []*member {
	return slices.DeleteFunc(slices.Clone(s.vms), func(m *member) bool { return m.rate != rate })
}

// TestLargeVMsReadAndForward checks who does the work at VMs that differ by 20 in link: one large
// VM reads, and the first places of the tree are large ones.
func TestLargeVMsReadAndForward(t *testing.T) {
	for _, u := range unevenFleets {
		t.Run(u.String(), func(t *testing.T) {
			s := u.start(t)
			for _, m := range s.vms {
				m.notified = 0
			}
			s.churn(10 * time.Second)
			if readers := s.readers(); len(readers) != 1 || readers[0].rate != largeRate {
				t.Errorf("%d readers, want a large one", len(readers))
			}
			rounds := int(10 * time.Second / (bound / 4))
			for _, m := range s.ofRate(largeRate) {
				if want := rounds / 2; u.n > 8 && m.notified < want {
					t.Errorf("%s, large, has sent %d notifications, want %d at least", m.vm.Name, m.notified, want)
				}
			}
			for _, m := range s.vms {
				if most := 2 * 4 * rounds; m.notified > most {
					t.Errorf("%s has sent %d notifications, want %d at most", m.vm.Name, m.notified, most)
				}
			}
		})
	}
}

// largeFaults take the large VMs of a fleet away.
var largeFaults = []struct {
	name string
	do   func(s *sim, large []*member)
}{
	{"all large VMs killed", func(s *sim, large []*member) {
		for _, m := range large {
			m.kill()
		}
	}},
	{"half of them cut off from all", func(s *sim, large []*member) {
		for i, m := range large {
			if i%2 == 0 {
				m.partition, m.silent = 1, true
			}
		}
	}},
	{"half of them cut off from the other VMs", func(s *sim, large []*member) {
		for i, m := range large {
			if i%2 == 0 {
				m.partition = 1
			}
		}
	}},
	{"the platform refuses all of them", func(s *sim, large []*member) {
		for _, m := range large {
			m.refused = true
		}
	}},
	{"all of them receive no datagrams", func(s *sim, large []*member) {
		for _, m := range large {
			m.unreachable = true
		}
	}},
	{"all of them restart as small ones", func(s *sim, large []*member) {
		for _, m := range large {
			m.vm.Size = smallClass
		}
		s.restart(large, 200*time.Millisecond)
		s.relist()
	}},
}

// TestUnevenFleetUnderFaults takes the large VMs away, which read and have the first places of the
// tree. The simulation checks throughout that settings are in force within the bound on each VM
// that reaches the platform.
func TestUnevenFleetUnderFaults(t *testing.T) {
	for _, u := range unevenFleets {
		for _, fault := range largeFaults {
			t.Run(fmt.Sprintf("%s, %v", fault.name, u), func(t *testing.T) {
				t.Parallel()
				s := u.start(t)
				large := s.ofRate(largeRate)
				fault.do(s, large)
				s.slowest = 0
				s.change()
				s.run(bound + time.Second)
				t.Logf("a change at the same time is in force after %v", s.slowest)
				s.churn(8 * time.Second)
				s.mendLarge(large)
				s.churn(5 * bound)
				s.checkServing()
				if readers := s.readers(); len(readers) != 1 || readers[0].rate != largeRate {
					t.Errorf("%d readers, want a large one again", len(readers))
				}
			})
		}
	}
}

// mendLarge ends the faults of large VMs.
func (s *sim) mendLarge(large []*member) {
	for _, m := range large {
		m.partition, m.silent, m.refused, m.unreachable, m.vm.Size = 0, false, false, false, largeClass
		if !m.running {
			m.start()
		}
	}
	s.relist()
}

// checkServing fails if a small VM has handed its settings to more than two at once, or a large one,
// whose link is faster, to more than eight.
func (s *sim) checkServing() {
	s.t.Helper()
	for _, m := range s.vms {
		most := 2
		if m.rate == largeRate {
			most = 8
		}
		if m.busiest > most {
			s.t.Errorf("%s hands its settings to %d at once, want at most %d", m.vm.Name, m.busiest, most)
		}
	}
}

// TestClassesUnknown checks fleets in which the class of some VMs is unknown, or of all: those
// with a class read first, and settings are in force within the bound.
func TestClassesUnknown(t *testing.T) {
	for _, known := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("%d of 2 VMs have a class", known), func(t *testing.T) {
			s := unevenFleets[1].start(t)
			for i, m := range s.vms {
				if i%2 >= known {
					m.vm.Size = 0
				}
			}
			s.restart(s.vms, time.Second)
			s.waitReady(2 * time.Second)
			s.churn(6 * time.Second)
			readers := s.readers()
			if len(readers) != 1 || known > 0 && readers[0].vm.Size == 0 {
				t.Errorf("%d readers, want one whose class is known if any is", len(readers))
			}
		})
	}
}

// TestUpgradeToClasses replaces VMs of an older build, which refuses entries with a class, so that
// VMs list different ones: they must serve beside new ones in any mixture, and during a kill.
func TestUpgradeToClasses(t *testing.T) {
	for _, u := range unevenFleets {
		t.Run(u.String(), func(t *testing.T) {
			t.Parallel()
			s := u.start(t)
			sizes := map[*member]int{}
			for _, m := range s.vms {
				sizes[m] = m.vm.Size
				m.old, m.vm.Size = true, 0
			}
			s.restart(s.vms, time.Second)
			s.churn(6 * time.Second)
			for part := range 4 {
				var some []*member
				for i, m := range s.vms {
					if i%4 == part {
						m.old, m.vm.Size = false, sizes[m]
						some = append(some, m)
					}
				}
				s.restart(some, 200*time.Millisecond)
				s.relist()
				s.churn(6 * time.Second)
				r := s.reader()
				r.kill()
				s.slowest = 0
				s.change()
				s.run(bound + time.Second)
				t.Logf("%d parts replaced, reader killed: a change is in force after %v", part+1, s.slowest)
				r.start()
				s.churn(5 * bound)
			}
			if readers := s.readers(); len(readers) != 1 || readers[0].rate != largeRate {
				t.Errorf("%d readers, want a large one", len(readers))
			}
		})
	}
}

// relist makes all VMs adopt the list anew with the next settings.
func (s *sim) relist() {
	for _, m := range s.vms {
		m.listVersion = 0
	}
}

// TestLargeDomainRefused guards against a first sixteen, which alone try during an outage, that are
// all of the domain that has the large VMs: after an outage the platform serves all others, whose
// VMs of lower rank retry rarely.
func TestLargeDomainRefused(t *testing.T) {
	s := uneven{n: 300, size: smallSettings}.start(t)
	for i, m := range s.vms {
		m.vm.Size = smallClass
		if i%3 == 0 {
			m.vm.Size = largeClass
		}
	}
	s.restart(s.vms, time.Second)
	s.churn(6 * time.Second)
	for _, m := range s.vms {
		m.refused = true
	}
	s.run(8 * time.Second)
	for i, m := range s.vms {
		m.refused = i%3 == 0
	}
	s.slowest = 0
	s.change()
	s.run(2 * bound)
	t.Logf("a change right after the outage is in force after %v", s.slowest)
	for _, m := range s.vms {
		m.refused = false
	}
	s.churn(6 * time.Second)
}

// TestBytesByClass logs what VMs of each class send, read and serve, with and without classes,
// while settings change and at a start of all.
func TestBytesByClass(t *testing.T) {
	for _, u := range unevenFleets[1:] {
		for _, unknown := range []bool{true, false} {
			u.unknown = unknown
			s := u.start(t)
			for _, m := range s.vms {
				m.bytes = 0
			}
			s.churn(20 * time.Second)
			large, _ := s.bytesOf(largeRate)
			small, most := s.bytesOf(smallRate)
			t.Logf("%v, classes unknown %v, settings change: large %d B/s, small %d B/s on average, %d at most", u, unknown, large/20, small/20, most/20)
			if most/20 > 8000 && !unknown {
				t.Errorf("a small VM sends, reads and serves %d bytes a second, want at most 8,000", most/20)
			}
			for _, m := range s.vms {
				m.bytes = 0
			}
			s.restart(s.vms, time.Second)
			began := s.now
			s.waitReady(5 * time.Second)
			s.checkServing()
			large, _ = s.bytesOf(largeRate)
			small, most = s.bytesOf(smallRate)
			t.Logf("%v, classes unknown %v, start of all: ready after %v; large %d B, small %d B on average, %d at most", u, unknown, s.now-began, large, small, most)
		}
	}
}

// bytesOf returns the bytes of VMs with a link of rate: the mean and the most.
func (s *sim) bytesOf(rate int) (mean, most int) {
	vms := s.ofRate(rate)
	for _, m := range vms {
		mean += m.bytes
		most = max(most, m.bytes)
	}
	return mean / len(vms), most
}

// TestReferralsByClass checks that peers are referred to a large holder more often, to each holder
// sometimes, and that a small VM refers them sooner if there is a large one.
func TestReferralsByClass(t *testing.T) {
	self := sparconfig.VM{Name: "vm-0", Domain: "domain-0", Size: smallClass}
	held := sparsync.Held{At: at(7), Digest: 42}
	s := sparsync.New(self, run, bound, beat)
	s.ReadDone(time.Millisecond, held, smallSettings, time.Millisecond)
	s.SetHeld(held)
	peer := func(i, size int) sparconfig.VM {
		return sparconfig.VM{Name: fmt.Sprintf("vm-%d", i), Domain: "domain-1", Control: fmt.Sprintf("10.0.0.%d:1", i), Size: size}
	}
	serve := func(vm sparconfig.VM) {
		if _, ok := s.Serve(vm, true); !ok {
			t.Fatalf("%s is not served", vm.Name)
		}
	}
	serve(peer(1, smallClass))
	serve(peer(2, smallClass))
	s.Served(peer(1, smallClass), true, held.Digest, true)
	s.Served(peer(2, smallClass), true, held.Digest, true)
	serve(peer(3, largeClass))
	s.Served(peer(3, largeClass), true, held.Digest, true)
	serve(peer(4, smallClass))
	got := map[string]int{}
	for range 60 {
		referral, ok := s.Serve(peer(5, smallClass), true)
		if ok {
			t.Fatal("a small VM serves two at once although a large one holds the same")
		}
		got[referral.Name]++
	}
	if want := (map[string]int{"vm-1": 10, "vm-2": 10, "vm-3": 40}); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("referrals %v, want %v", got, want)
	}
}

// TestLargeSeedsRegister checks that seeds of the highest class register others, each once, and
// that all do so while the class of a seed is unknown.
func TestLargeSeedsRegister(t *testing.T) {
	for _, c := range []struct {
		sizes [3]int
		want  [3]bool
	}{
		{[3]int{2, 4, 2}, [3]bool{false, true, false}},
		{[3]int{4, 2, 4}, [3]bool{true, false, true}},
		{[3]int{0, 4, 2}, [3]bool{true, true, true}},
		{[3]int{0, 0, 0}, [3]bool{true, true, true}},
	} {
		t.Run(fmt.Sprint(c.sizes), func(t *testing.T) {
			var seeds []sparconfig.VM
			var controls []string
			for i, size := range c.sizes {
				vm := sparconfig.VM{Name: fmt.Sprintf("seed-%d", i), Data: "10.0.0.1:1", Control: fmt.Sprintf("10.0.0.%d:2", i), Size: size}
				seeds, controls = append(seeds, vm), append(controls, vm.Control)
			}
			total := 0
			for i, seed := range seeds {
				n := registeredBy(seed, seeds, controls)
				total += n
				if n > 0 != c.want[i] {
					t.Errorf("%s registers %d VMs, want some: %v", seed.Name, n, c.want[i])
				}
			}
			if total != 100 {
				t.Errorf("%d registrations, want 100", total)
			}
		})
	}
}

// registeredBy returns how many of 100 VMs that query a seed it registers.
func registeredBy(seed sparconfig.VM, seeds []sparconfig.VM, controls []string) (n int) {
	s := sparsync.New(seed, run, bound, beat)
	s.Seeds(controls)
	now := time.Millisecond
	s.Tick(now)
	s.ReadDone(now, sparsync.Held{At: at(1), Digest: 1}, smallSettings, now)
	s.List(seeds, now)
	for i := range 100 {
		s.Queried(sparsync.Query{From: sparconfig.VM{Name: fmt.Sprintf("vm-%d", i), Data: "10.0.0.1:1", Control: fmt.Sprintf("10.1.0.%d:2", i)}}, now)
	}
	for range 60 {
		now += tickInterval
		for _, out := range s.Tick(now) {
			if r, ok := out.(sparsync.Register); ok {
				n += len(r.VMs)
			}
		}
	}
	return n
}

// TestLargeVMServesMore checks how many full copies a large VM serves at a time: more to small VMs,
// whose links are the slower ones, and two to any others.
func TestLargeVMServesMore(t *testing.T) {
	for _, c := range []struct{ self, to, want int }{
		{largeClass, smallClass, 8}, {smallClass + 1, smallClass, 4}, {largeClass + 5, smallClass, 8},
		{largeClass, largeClass, 2}, {smallClass, largeClass, 2}, {largeClass, 0, 2}, {0, largeClass, 2}, {0, 0, 2},
	} {
		t.Run(fmt.Sprintf("class %d to class %d", c.self, c.to), func(t *testing.T) {
			s := sparsync.New(sparconfig.VM{Name: "vm-0", Size: c.self}, run, bound, beat)
			n := 0
			for ; n < 20; n++ {
				if _, ok := s.Serve(sparconfig.VM{Name: fmt.Sprintf("vm-%d", n+1), Size: c.to}, true); !ok {
					break
				}
			}
			if n != c.want {
				t.Errorf("serves %d at once, want %d", n, c.want)
			}
		})
	}
}
