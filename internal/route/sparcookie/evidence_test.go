package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// giveUpAfter is how long a client waits for a response.
const giveUpAfter = 2 * time.Second

// TestNewFlowsFollowWeights checks where new flows go by the weights of upstreams.
func TestNewFlowsFollowWeights(t *testing.T) {
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

// TestProgressIsObserved covers a response that goes on after its first packet: the upstream takes no
// new flows here, and is alive.
func TestProgressIsObserved(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	c.ackHandshake()
	c.request()
	c.ackResponse()
	f.engine.Observations()
	if got := f.engine.Observations().Upstreams; len(got) > 0 {
		t.Errorf("%+v while nothing happens", got)
	}
	for range 3 {
		c.s.Ack += 1200
		f.forward(c.s)
	}
	want := sparevidence.Observation{ID: c.upstream, Progressed: true}
	if got := f.engine.Observations().Upstreams; len(got) != 1 || got[0] != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestProgressAllocatesNothing acknowledges the packets of a response one by one.
func TestProgressAllocatesNothing(t *testing.T) {
	f := newFixture(t)
	c := f.newClient(bookingAddr)
	c.open()
	c.ackHandshake()
	n := testing.AllocsPerRun(1000, func() {
		c.s.Ack += 1200
		f.engine.Forward(c.s)
	})
	if n != 0 {
		t.Errorf("%v allocations for the progress of a response", n)
	}
}

// TestLoadOrRefusalsMakePressed checks when the load is worth telling: 4 VMs share 10 slots, and three requests at
// once take a part of each 200 ms.
func TestLoadOrRefusalsMakePressed(t *testing.T) {
	for took, want := range map[time.Duration]bool{10 * time.Millisecond: false, 150 * time.Millisecond: true} {
		f := newFixture(t)
		f.engine.Observations()
		for range 5 {
			var clients []*client
			for range 3 {
				c := f.newClient(bookingAddr)
				c.open()
				c.ackHandshake()
				c.request()
				clients = append(clients, c)
			}
			f.wait(took)
			for _, c := range clients {
				c.ackResponse()
			}
			f.wait(200*time.Millisecond - took - 3*rtt)
		}
		f.engine.Observations()
		if got := f.engine.Pressed(); got != want {
			t.Errorf("pressed %v with requests of %v, want %v", got, took, want)
		}
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

// TestMovedFlowsAreNotOverdue covers flows that the fabric sends to another VM, as each start of a VM
// makes it do: their requests stay pending here, whatever their upstreams do.
func TestMovedFlowsAreNotOverdue(t *testing.T) {
	f := newFixture(t)
	f.engine.SetUsual(booking, 30*time.Millisecond)
	for range 10 {
		c := f.newClient(bookingAddr)
		c.open()
		c.ackHandshake()
		c.request()
	}
	f.wait(3 * time.Second)
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
