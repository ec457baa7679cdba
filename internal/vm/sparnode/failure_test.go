package sparnode_test

import (
	"strings"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	oneIn10000 = bigFlows / 10_000
	oneIn1000  = bigFlows / 1_000
)

// partition separates a failure domain from the other VMs and the platform.
func (l *lab) partition(domain string) {
	side := map[string]bool{}
	for _, vm := range l.vms {
		side[vm.name] = vm.file.Domain == domain
	}
	l.blocked = func(from, to string) bool { return side[from] != side[to] }
}

func (l *lab) heal() { l.blocked = func(string, string) bool { return false } }

func TestFailures(t *testing.T) {
	cases := []struct {
		name  string
		bound int
		fail  func(l *lab, d sparconfig.Document, flows []*labFlow)
	}{
		{"one VM killed, then a second", oneIn10000, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.kill("vm-3")
			l.exchange(flows, 5*time.Second)
			l.kill("vm-6")
		}},
		{"VM killed while an upstream drains and the platform is down", oneIn1000, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.serve("booking", l.drained(d, upstreamAt(1, 3)))
			l.run(60 * time.Millisecond)
			l.down = true
			l.run(100 * time.Millisecond)
			l.kill("vm-3")
		}},
		{"VM killed right after a drain, then an upstream joins", oneIn10000, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.serve("booking", l.drained(d, upstreamAt(1, 3)))
			l.exchange(flows, 2*time.Second)
			l.kill("vm-3")
			l.exchange(flows, 3*time.Second)
			l.serve("booking", l.drained(document(1, bigUpstreams+1), upstreamAt(1, 3)))
		}},
		{"VM frozen and resumed", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.vm("vm-3").frozen = true
			l.exchange(flows, 5*time.Second)
			l.vm("vm-3").frozen = false
		}},
		{"VM frozen while upstreams change", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.vm("vm-3").frozen = true
			l.serve("booking", l.drained(document(1, bigUpstreams+1), upstreamAt(1, 3)))
			l.exchange(flows, 5*time.Second)
			l.vm("vm-3").frozen = false
			l.exchange(flows, 2*time.Second)
			l.serve("booking", l.drained(document(1, bigUpstreams+1), upstreamAt(1, 3), upstreamAt(1, 9)))
		}},
		{"VM frozen twice for the length of a lease", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			for range 2 {
				l.vm("vm-3").frozen = true
				l.exchange(flows, 1500*time.Millisecond)
				l.vm("vm-3").frozen = false
				l.exchange(flows, 1500*time.Millisecond)
			}
		}},
		{"failure domain partitioned, then healed", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.partition("domain-1")
			l.exchange(flows, 10*time.Second)
			l.heal()
		}},
		{"failure domain partitioned while an upstream drains, then healed", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.partition("domain-1")
			l.serve("booking", l.drained(d, upstreamAt(1, 3)))
			l.exchange(flows, 10*time.Second)
			l.heal()
		}},
		{"one VM receives nothing from another", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.blocked = func(from, to string) bool { return from == "vm-2" && to == "vm-5" }
			l.exchange(flows, 8*time.Second)
			l.heal()
		}},
		{"whole failure domain killed", oneIn10000, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.kill("vm-2")
			l.kill("vm-6")
		}},
		{"long platform outage, a VM leaves meanwhile", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.down = true
			l.exchange(flows, 10*time.Second)
			l.leave("vm-4", flows)
		}},
		{"platform lists a VM that never ran and lacks a running one", 0, func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.put(sparconfig.VMKey("ghost"), l.vms[0].file.VM().Text())
			delete(l.entries, sparconfig.VMKey("vm-2"))
			l.revision++
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, d, flows := booking(t, uint64(100+i), bigFlows)
			c.fail(l, d, flows)
			l.exchange(flows, 8*time.Second)
			assertAtMost(t, "broken flows", l.broken(flows), c.bound)
			assertAtMost(t, "packets at another service", l.misrouted, 0)
			s := l.stats()
			t.Logf("openings %d, overrides %d, redirects %d, unrecorded %d, drops %v", s.Openings, s.Overrides, s.Redirects, s.Unrecorded, s.Drops)
			more := l.open("booking", 500, bigFlows)
			assertAtMost(t, "new flows broken afterwards", l.broken(more), 0)
		})
	}
}

func TestDrainingUpstreamGetsNoOpenings(t *testing.T) {
	l, d, _ := booking(t, 1, 3000)
	at := l.now
	l.serve("booking", l.drained(d, upstreamAt(1, 3)))
	for n := 3000; l.now < at+8*time.Second; n += 100 {
		l.open("booking", 100, n)
	}
	late := 0
	for e, u := range l.upstreams {
		for _, opened := range u.opened {
			if e.String() == upstreamAt(1, 3) && opened > at+3*time.Second {
				late++
			}
		}
	}
	assertAtMost(t, "openings 3 s after acceptance", late, 0)
}

func TestNoUpstreamRefuses(t *testing.T) {
	l, d, flows := booking(t, 2, 1000)
	var all []string
	for i := range bigUpstreams {
		all = append(all, upstreamAt(1, i+1))
	}
	before := l.openings()
	l.serve("booking", l.drained(d, all...))
	l.run(3 * time.Second)
	for _, f := range l.open("booking", 200, 5000) {
		if f.open || !f.refused {
			t.Fatalf("opening with every upstream draining: open %v, refused %v", f.open, f.refused)
		}
	}
	assertAtMost(t, "openings that ran after a refusal", l.openings()-before, 0)
	assertAtMost(t, "broken flows", l.broken(flows), 0)
}

func (l *lab) openings() (n int) {
	for _, u := range l.upstreams {
		n += len(u.opened)
	}
	return n
}

func TestDrainDeadlineResets(t *testing.T) {
	l, d, flows := booking(t, 3, 2000)
	d, _ = d.WithDrain(upstreamAt(1, 3), l.wall().Add(5*time.Second))
	l.serve("booking", d)
	l.exchange(flows, 4*time.Second)
	assertAtMost(t, "broken before the deadline", l.broken(flows), 0)
	l.run(4 * time.Second)
	l.broken(flows)
	for _, f := range flows {
		removed := f.upstream.String() == upstreamAt(1, 3)
		if removed != (f.broken == "aborted") {
			t.Fatalf("flow at %s: %q after the deadline of %s", f.upstream, f.broken, upstreamAt(1, 3))
		}
	}
}

func TestUnresponsiveUpstreamLosesOpenings(t *testing.T) {
	l, _, _ := booking(t, 4, 100)
	for at, u := range l.upstreams {
		u.unresponsive = at.String() == upstreamAt(1, 3) || at.String() == upstreamAt(1, 4)
	}
	flows := l.open("booking", 3000, 1000)
	assertAtMost(t, "broken flows", l.broken(flows), 0)
	for _, f := range flows {
		if l.upstreams[f.upstream].unresponsive {
			t.Fatalf("flow open at an unresponsive upstream")
		}
	}
}

// TestResumedVMIgnoresItsOldView passes packets to a VM right after a pause, before it
// receives anything else. It must not decide them by its view from before the pause.
func TestResumedVMIgnoresItsOldView(t *testing.T) {
	l, d, _ := booking(t, 9, 100)
	vm := l.vm("vm-3")
	vm.frozen = true
	l.serve("booking", l.drained(d, upstreamAt(1, 3)))
	l.run(4 * time.Second)
	before := l.openings()
	vm.node.Advance(l.now, l.wall())
	for i := range 500 {
		vm.node.Engine.Forward(sparroute.Segment{
			From: client(5000 + i), To: endpoint(d.Address), Proto: sparflow.TCP, Kind: sparroute.SYN,
		})
	}
	s := vm.node.Engine.Stats()
	assertAtMost(t, "openings decided by the old view", l.openings()-before, 0)
	assertAtMost(t, "slots still owned", decided(vm), 0)
	if s.Drops[sparroute.TooManyHops]+s.Redirects == 0 {
		t.Error("the openings were not dropped or redirected")
	}
}

func decided(vm *labVM) int {
	n, _ := vm.node.Engine.Owned()
	return n
}

func TestOldPlatformReadIsIgnored(t *testing.T) {
	l, d, _ := booking(t, 5, 10)
	vm := l.vm("vm-1")
	old := l.revision
	var entries []sparregistry.Entry
	for _, e := range l.entries {
		entries = append(entries, e)
	}
	l.serve("booking", l.drained(d, upstreamAt(1, 3)))
	l.run(2 * time.Second)
	vm.node.MergeRead(entries, old)
	u, _ := vm.node.Snapshot().Service("team/booking").Upstream(endpoint(upstreamAt(1, 3)))
	if !u.Draining || vm.node.Facts().Revision < l.revision {
		t.Errorf("reverted to revision %d", vm.node.Facts().Revision)
	}
}

func TestFreshVMWithPlatformDown(t *testing.T) {
	l, d, flows := booking(t, 6, 2000)
	l.serve("booking", l.drained(d, upstreamAt(1, 3)))
	l.run(60 * time.Millisecond)
	l.down = true
	l.run(5 * time.Second)
	for _, vm := range l.vms {
		if got := vm.node.Facts().Revision; got != l.revision {
			t.Errorf("%s has revision %d in force, want %d", vm.name, got, l.revision)
		}
	}
	vm := l.boot("vm-9", "domain-0")
	vm.node.Merge(l.vms[0].node.Registry().Delta(sparregistry.Position{})) // the response of a seed
	l.exchange(flows, 5*time.Second)
	if vm.node.Tracker.State() != "serving" {
		t.Errorf("fresh VM is %s", vm.node.Tracker.State())
	}
	assertAtMost(t, "broken flows", l.broken(flows), 0)
}

// TestClaimStaysWhileAVMMayUseIt removes an upstream from a service. Its claim must not be
// released while an unreachable VM may still send packets to the address.
func TestClaimStaysWhileAVMMayUseIt(t *testing.T) {
	cases := []struct {
		name     string
		fail     func(l *lab)
		released bool
	}{
		{"all confirm", func(l *lab) {}, true},
		{"a VM is frozen", func(l *lab) { l.vm("vm-5").frozen = true }, false},
		{"a failure domain is partitioned", func(l *lab) { l.partition("domain-2") }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, _, flows := booking(t, 8, 300)
			c.fail(l)
			l.serve("booking", document(1, bigUpstreams-1))
			claim := sparconfig.ClaimKey(sparflow.TCP, endpoint(upstreamAt(1, bigUpstreams)))
			l.run(30 * time.Second)
			if _, held := l.entries[claim]; !held {
				t.Fatal("released while a writer may be about to write its document")
			}
			l.run(60 * time.Second)
			if _, held := l.entries[claim]; held == c.released {
				t.Fatalf("held %v after 90 s", held)
			}
			l.heal()
			l.vm("vm-5").frozen = false
			l.run(90 * time.Second)
			if _, held := l.entries[claim]; held {
				t.Fatal("still held 90 s after every VM is reachable again")
			}
			l.upstreams[endpoint(upstreamAt(1, bigUpstreams))] = &labUpstream{service: "sheets", conns: map[*labFlow]bool{}}
			sheets := document(2, 1)
			sheets.Upstreams[0].At = upstreamAt(1, bigUpstreams)
			l.serve("sheets", sheets)
			l.run(2 * time.Second)
			l.broken(flows)
			for _, f := range flows {
				removed := f.upstream == endpoint(upstreamAt(1, bigUpstreams))
				if removed != (f.broken != "") {
					t.Fatalf("flow at %s: %q", f.upstream, f.broken)
				}
			}
			assertAtMost(t, "packets at another service", l.misrouted, 0)
			assertAtMost(t, "new flows broken", l.broken(l.open("sheets", 50, 7000)), 0)
		})
	}
}

func TestAddressMovesBetweenServices(t *testing.T) {
	l, d, flows := booking(t, 7, 2000)
	other := document(2, 3)
	l.serve("sheets", other)
	l.run(time.Second)
	more := l.open("sheets", 300, 9000)
	taken := other
	taken.Upstreams = append(taken.Upstreams, sparconfig.Member{At: upstreamAt(1, 3)})
	l.serve("sheets", taken) // claims fail: booking holds the address
	l.run(3 * time.Second)
	problems := l.vms[0].node.Snapshot().Problems
	if len(problems) != 1 || !strings.Contains(problems[0].Cause, "claimed by team/booking") {
		t.Fatalf("problems %v", problems)
	}
	assertAtMost(t, "broken flows", l.broken(append(flows, more...)), 0)
	assertAtMost(t, "packets at another service", l.misrouted, 0)
	_ = d
}
