package sparcookie_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// giveUpAfter is how long a client waits for a response.
const giveUpAfter = 2 * time.Second

// TestWeights checks where new flows go by the weights of upstreams.
func TestWeights(t *testing.T) {
	f := newFixture(t)
	f.engine.SetWeight(1, 0)
	f.engine.SetWeight(2, sparevidence.Trickle)
	got := f.openMany(400, nil)
	if got[1] > 0 {
		t.Errorf("%d flows at an ejected upstream", got[1])
	}
	if got[2] == 0 || got[2] > 80 {
		t.Errorf("%d of 400 flows at an upstream with a tenth of its weight, want some and at most a fifth", got[2])
	}
	if f.openMany(1, nil); got[4]+got[5] > 0 {
		t.Errorf("flows %v, want none in the other domain", got)
	}
	f.remove(1)
	f.upstreams = append(f.upstreams, newUpstream(1, "north"))
	f.apply()
	if got := f.openMany(200, nil); got[1] == 0 {
		t.Error("no flow at an ejected upstream whose entry was removed and is back")
	}
}

// TestAllEjected checks that flows are still spread if the evidence ejects all upstreams.
func TestAllEjected(t *testing.T) {
	f := newFixture(t)
	for id := range uint64(5) {
		f.engine.SetWeight(id+1, 0)
	}
	if got := f.openMany(100, nil); len(got) < 3 {
		t.Errorf("flows %v, want them spread", got)
	}
}

// sum returns the counts of all observations.
func sum(o sparevidence.Observations) (c sparevidence.Counts) {
	for _, obs := range o.Upstreams {
		c.Opened += obs.Counts.Opened
		c.Unanswered += obs.Counts.Unanswered
		c.Answered += obs.Counts.Answered
		c.Slow += obs.Counts.Slow
		c.Failed += obs.Counts.Failed
	}
	return c
}

func TestObservations(t *testing.T) {
	const usual = 30 * time.Millisecond
	tests := []struct {
		name string
		play func(f *fixture, c *client)
		want sparevidence.Counts
	}{
		{"answered", func(f *fixture, c *client) {
			c.ackHandshake()
			c.request()
			f.wait(usual)
			c.ackResponse()
		}, sparevidence.Counts{Opened: 1, Answered: 1}},
		{"slow", func(f *fixture, c *client) {
			c.ackHandshake()
			c.request()
			f.wait(5 * usual)
			c.ackResponse()
		}, sparevidence.Counts{Opened: 1, Answered: 1, Slow: 1}},
		{"SYN unanswered", func(f *fixture, _ *client) { f.wait(latestOpening) }, sparevidence.Counts{Unanswered: 1}},
		{"overdue, and then given up", func(f *fixture, c *client) {
			c.ackHandshake()
			c.request()
			f.wait(giveUpAfter)
			c.s.Kind = sparcookie.RST
			c.f.forward(c.s)
		}, sparevidence.Counts{Opened: 1, Failed: 1}},
		{"given up early", func(f *fixture, c *client) {
			c.ackHandshake()
			c.request()
			f.wait(160 * time.Millisecond)
			c.s.Kind = sparcookie.RST
			c.f.forward(c.s)
		}, sparevidence.Counts{Opened: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.engine.SetUsual(booking, usual)
			c := f.newClient(bookingAddr)
			c.open()
			test.play(f, c)
			if got := sum(f.engine.Observations()); got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
			if got := sum(f.engine.Observations()); got != (sparevidence.Counts{}) {
				t.Errorf("%+v counted again", got)
			}
		})
	}
}

// TestNothingIsOverdueAfterAPause pauses a VM with requests under way: their responses wait to be
// read.
func TestNothingIsOverdueAfterAPause(t *testing.T) {
	f := newFixture(t)
	f.engine.SetUsual(booking, 30*time.Millisecond)
	c := f.newClient(bookingAddr)
	c.open()
	c.ackHandshake()
	c.request()
	f.pause(3 * time.Second)
	c.ackResponse()
	if got := sum(f.engine.Observations()); got.Failed > 0 {
		t.Errorf("%+v, want no failure", got)
	}
}

// TestRequestsUnderWay checks the load that this VM tells: each request counts until its end.
func TestRequestsUnderWay(t *testing.T) {
	f := newFixture(t)
	ends := map[string]func(c *client){
		"answered": func(c *client) { c.ackResponse() },
		"reset":    func(c *client) { c.s.Kind = sparcookie.RST; f.forward(c.s) },
		"closed":   func(c *client) { c.s.Kind = sparcookie.FIN; f.forward(c.s); f.forward(c.s) },
		"idle":     func(*client) { f.wait(20 * time.Second) },
		"removed":  func(c *client) { f.edit(c.upstream, func(u *sparroster.Upstream) { u.Born++ }) },
	}
	load := func() (n int) {
		f.wait(time.Second)
		for _, s := range f.engine.Observations().Services {
			for _, requests := range s.Load {
				n += requests
			}
		}
		return n
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c := f.newClient(bookingAddr)
			c.open()
			c.ackHandshake()
			c.request()
			c.request()
			if got := load(); got != 1 {
				t.Errorf("%d requests under way, want 1", got)
			}
			end(c)
			if got := load(); got != 0 {
				t.Errorf("%d requests under way after the end, want none", got)
			}
		})
	}
}

// fleetVM is a VM with its board in a simulation without a network.
type fleetVM struct {
	*fixture
	board   *sparevidence.Board
	waiting []*client
	since   []time.Duration
}

// newMuteFleet returns VMs of one failure domain with ten upstreams.
func newMuteFleet(t *testing.T, vms int) (fleet []*fleetVM) {
	var upstreams []sparroster.Upstream
	for id := range uint64(10) {
		upstreams = append(upstreams, newUpstream(id+1, "north"))
	}
	return newFleet(t, vms, upstreams)
}

// newFleet returns VMs of the failure domain north.
func newFleet(t *testing.T, vms int, upstreams []sparroster.Upstream) (fleet []*fleetVM) {
	var names []sparevidence.VM
	for n := range vms {
		names = append(names, sparevidence.VM{Name: fmt.Sprint("vm-", n), Domain: "north"})
	}
	for n := range vms {
		f := newFixture(t)
		f.upstreams = upstreams
		var list []sparevidence.Upstream
		for _, u := range upstreams {
			list = append(list, sparevidence.Upstream{ID: u.ID, Born: u.Born, Service: booking})
		}
		f.port = uint16(1000 * n)
		f.engine = sparcookie.New(names[n].Name, "north", 10_000)
		f.apply()
		vm := &fleetVM{fixture: f, board: sparevidence.New(names[n].Name, 1)}
		vm.board.SetVMs(names)
		vm.board.SetUpstreams(list)
		fleet = append(fleet, vm)
	}
	return fleet
}

// share lets the VMs exchange what they have seen.
func share(fleet []*fleetVM) {
	for _, vm := range fleet {
		vm.board.Observe(vm.now, vm.engine.Observations())
		vm.engine.SetUsual(booking, vm.board.Usual(booking, vm.now))
		if r, due := vm.board.Compose(vm.now); due {
			for _, other := range fleet {
				if other != vm {
					_ = other.board.Receive(vm.now, r)
				}
			}
		}
		for _, c := range vm.board.Evaluate(vm.now) {
			vm.engine.SetWeight(c.Upstream.ID, c.Weight)
		}
	}
}

// TestMuteUpstreamsOfAFleet covers two of ten upstreams that open flows and never answer, at 16 VMs
// which see 2.8 requests a second in all. Alone, a VM never learns of them.
func TestMuteUpstreamsOfAFleet(t *testing.T) {
	const seconds = 120
	play := func(shared bool) (lost, sent int) {
		random := rand.New(rand.NewPCG(1, 1))
		fleet := newMuteFleet(t, 16)
		for step := range seconds * 20 {
			for _, vm := range fleet {
				vm.giveUp()
				if random.Float64() < 2.8/16/20 {
					sent++
					if mute := step > 20*20; !vm.ask(mute) {
						lost++
					}
				}
				vm.wait(tickEvery - vm.now%tickEvery)
			}
			if shared {
				share(fleet)
			}
		}
		return lost, sent
	}
	alone, sent := play(false)
	lost, _ := play(true)
	t.Logf("%d of %d requests lost, %d without shared evidence", lost, sent, alone)
	// For each upstream: two witnesses, one that is under way, and some trials.
	if lost > 2*8 {
		t.Errorf("%d of %d requests lost, want at most 16", lost, sent)
	}
}

// ask sends a request on a new flow and reports whether it is answered. Upstreams 1 and 2 may be mute.
func (vm *fleetVM) ask(mute bool) (answered bool) {
	c := vm.newClient(bookingAddr)
	c.open()
	if !mute || c.upstream > 2 {
		c.finish()
		return true
	}
	c.ackHandshake()
	c.request()
	vm.waiting, vm.since = append(vm.waiting, c), append(vm.since, vm.now)
	return false
}

// giveUp ends the flows of clients that have waited for long.
func (vm *fleetVM) giveUp() {
	for len(vm.waiting) > 0 && vm.now-vm.since[0] >= giveUpAfter {
		c := vm.waiting[0]
		vm.waiting, vm.since = vm.waiting[1:], vm.since[1:]
		c.s.Kind = sparcookie.RST
		vm.forward(c.s)
	}
}

// TestDomainRecoversWithEvidence covers a failure domain that is down for 4 s while its VMs share
// what they see of its upstreams: what they have reported does not delay the return.
func TestDomainRecoversWithEvidence(t *testing.T) {
	fleet := newFleet(t, 16, newDomains(t, "north", "east").upstreams)
	play := func(d time.Duration, silent func(domain string) bool) (total openings) {
		total.answered = map[string]int{}
		total.lost = map[string]int{}
		for range d / openingGap {
			for _, vm := range fleet {
				o := vm.serve(openingGap, silent)
				total.answered["north"] += o.answered["north"]
				total.lost["north"] += o.lost["north"]
			}
			share(fleet)
		}
		return total
	}
	play(2*time.Second, only())
	down := play(4*time.Second, only("north"))
	if most := 16 * (5 + 4); down.lost["north"] > most {
		t.Errorf("%d SYNs lost, want at most %d", down.lost["north"], most)
	}
	play(3*time.Second, only())
	back := play(time.Second, only())
	t.Logf("%d SYNs lost, %d of 480 flows in the domain 3 s after its return", down.lost["north"], back.answered["north"])
	if back.answered["north"] < 16*27 {
		t.Errorf("%d of 480 flows in the domain 3 s after its return", back.answered["north"])
	}
}
