package sparcookie_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// ejected returns the number of pairs of a VM and an upstream that it has ejected by evidence.
func ejected(fleet []*fleetVM) (n int) {
	for _, vm := range fleet {
		ejected, _ := vm.board.Weighed()
		n += ejected
	}
	return n
}

// TestUpstreamsFallMute covers two of ten upstreams that acknowledge requests and answer none from one
// moment on, at 16 VMs with 100 requests a second in all. Clients send nothing until they give up after 2 s, and
// by then most VMs have lost a request.
func TestUpstreamsFallMute(t *testing.T) {
	const seeds, seconds, muteAt, rate = 10, 12, 6, 100
	lost, sent := 0, 0
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		fleet := newMuteFleet(t, 16)
		for step := range seconds * 20 {
			for _, vm := range fleet {
				vm.giveUp()
				if random.Float64() < rate/16./20 {
					sent++
					if !vm.ask(step >= muteAt*20) {
						lost++
					}
				}
				vm.wait(tickEvery - vm.now%tickEvery)
			}
			share(fleet)
		}
	}
	t.Logf("%d of %d requests lost", lost, sent)
	// An upstream gets ten a second until requests are overdue, four VMs have seen it, and the others have
	// heard and weighed it: 0.4, 0.4 and 0.25 s. Then one or two trials.
	if most := seeds * 2 * 12; lost > most {
		t.Errorf("%d of %d requests lost, want at most %d", lost, sent, most)
	}
}

// TestMovedFlowsEjectNothing covers the start or the end of a VM every two seconds where the fabric then
// moves all flows: each VM keeps the requests that were under way, and sees none of their responses.
func TestMovedFlowsEjectNothing(t *testing.T) {
	for _, rate := range []float64{3, 30, 100, 300, 900} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			const seconds = 20
			random := rand.New(rand.NewPCG(1, 1))
			fleet := newMuteFleet(t, 16)
			most, moved := 0, 0
			for step := range seconds * 20 {
				for _, vm := range fleet {
					due := rate / 16 / 20
					for ; random.Float64() < due; due-- {
						if moving := step > 100 && step%40 == 0; moving {
							c := vm.newClient(bookingAddr)
							c.open()
							c.ackHandshake()
							c.request()
							moved++
							continue
						}
						vm.ask(false)
					}
					vm.wait(tickEvery - vm.now%tickEvery)
				}
				share(fleet)
				most = max(most, ejected(fleet))
			}
			t.Logf("%d requests under way moved", moved)
			if most > 0 {
				t.Errorf("up to %d ejections at a time, want none", most)
			}
		})
	}
}

// TestHangingRequests checks when a VM says that requests hang.
func TestHangingRequests(t *testing.T) {
	tests := []struct {
		name string
		play func(f *fixture, c *client)
		want bool
	}{
		{"not yet", func(f *fixture, _ *client) { f.wait(190 * time.Millisecond) }, false},
		{"hangs", func(f *fixture, _ *client) { f.wait(250 * time.Millisecond) }, true},
		{"answered", func(f *fixture, c *client) {
			c.ackResponse()
			f.wait(250 * time.Millisecond)
		}, false},
		{"another request was answered", func(f *fixture, c *client) {
			f.askAt(c.upstream)
			f.wait(250 * time.Millisecond)
		}, false},
		{"this VM was paused", func(f *fixture, _ *client) {
			f.wait(100 * time.Millisecond)
			f.pause(time.Second)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.engine.SetUsual(booking, 10*time.Millisecond)
			c := f.newClient(bookingAddr)
			c.open()
			c.ackHandshake()
			c.request()
			f.engine.Observations()
			test.play(f, c)
			hanging := false
			for _, obs := range f.engine.Observations().Upstreams {
				hanging = hanging || obs.Hanging
				if obs.Counts.Failures() > 0 {
					t.Errorf("%+v, want no failure", obs)
				}
			}
			if hanging != test.want {
				t.Errorf("hanging %v, want %v", hanging, test.want)
			}
		})
	}
}

// askAt sends requests on new flows until one of them is answered by an upstream.
func (f *fixture) askAt(upstream uint64) {
	for range 20 {
		c := f.newClient(bookingAddr)
		c.open()
		c.ackHandshake()
		c.request()
		c.ackResponse()
		if c.upstream == upstream {
			return
		}
	}
	f.t.Fatalf("no flow at upstream %d", upstream)
}

// TestRestartIsNotBlamed covers an upstream that restarts under its ID while a request and a SYN wait at it: what
// its earlier start has left unanswered is no evidence about the new one.
func TestRestartIsNotBlamed(t *testing.T) {
	f := newFixture(t)
	f.engine.SetUsual(booking, 20*time.Millisecond)
	f.flowAt(1)
	for n := 0; n < 20; n++ { // some of these SYNs go to upstream 1
		f.newClient(bookingAddr).open()
	}
	f.engine.Observations()
	f.edit(1, func(u *sparroster.Upstream) { u.Born++ })
	f.wait(500 * time.Millisecond)
	for _, o := range f.engine.Observations().Upstreams {
		if o.ID == 1 {
			t.Errorf("%+v, want nothing of the upstream that has restarted", o)
		}
	}
}
