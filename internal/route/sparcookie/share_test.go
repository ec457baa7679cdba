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
