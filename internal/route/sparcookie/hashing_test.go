package sparcookie_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	simStep        = time.Millisecond
	simServiceTime = 18 * time.Millisecond
	simDeadline    = 500 * time.Millisecond
	simThinkTime   = 150 * time.Millisecond
	simClients     = 40
	simQueue       = 8 // requests that an upstream queues
)

type (
	// router is the routing of one VM.
	router interface {
		forward(now time.Duration, s sparcookie.Segment) sparcookie.Verdict
		apply(now time.Duration, upstreams []sparroster.Upstream)
	}

	// engineVM routes with an Engine.
	engineVM struct {
		f *fixture
	}

	// hashVM sends each flow to the first upstream of the roster in rendezvous order, also
	// the retransmissions of its SYN. It uses no information but the roster.
	hashVM struct {
		upstreams []sparroster.Upstream
		flows     map[uint64]sparroster.Upstream
	}

	// sim simulates upstreams and clients of one VM. Two of three clients use one flow as
	// long as they get responses, the others open a flow for each request.
	sim struct {
		rng     *rand.Rand
		now     time.Duration
		vm      router
		servers map[uint64]*simServer
		clients []*simClient
		port    uint16

		requests, failed, moved int
		// peak and total add up, over the samples, the requests at the busiest upstream
		// and at all upstreams.
		peak, total, samples int
	}

	simServer struct {
		entry     sparroster.Upstream
		silent    bool
		hangRate  float64         // fraction of requests that it never answers
		busyUntil []time.Duration // ends of the requests in service or queued
	}

	simClient struct {
		shortLived  bool // one request per flow
		s           sparcookie.Segment
		open        bool
		upstream    uint64
		retransmits uint32
		nextAt      time.Duration // time of the next request
		waiting     bool
		unanswered  bool          // the request will get no response
		startedAt   time.Duration // start of the request
		sentAt      time.Duration
		responseAt  time.Duration // arrival of the response, or 0
		synAckAt    time.Duration // arrival of the SYN-ACK, or 0
	}
)

func (v engineVM) forward(now time.Duration, s sparcookie.Segment) sparcookie.Verdict {
	v.f.now = now
	return v.f.forward(s)
}

func (v engineVM) apply(now time.Duration, upstreams []sparroster.Upstream) {
	v.f.now, v.f.upstreams = now, upstreams
	v.f.apply()
}

func (v *hashVM) apply(_ time.Duration, upstreams []sparroster.Upstream) { v.upstreams = upstreams }

func (v *hashVM) forward(_ time.Duration, s sparcookie.Segment) sparcookie.Verdict {
	key := uint64(s.From)
	upstream, ok := v.flows[key]
	if !ok {
		var names []uint64
		var open []sparroster.Upstream
		for _, u := range v.upstreams {
			if !u.Draining {
				open, names = append(open, u), append(names, u.ID)
			}
		}
		upstream = open[sparrank.Best(int(uint32(key)), names, func(int) bool { return true })]
		v.flows[key] = upstream
	}
	return sparcookie.Verdict{Action: sparcookie.ToUpstream, ID: upstream.ID, At: upstream.At, Cookie: sparcookie.Cookie(upstream.ID)}
}

func newSim(vm router, upstreams []sparroster.Upstream) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(7, 7)), now: time.Second, vm: vm, servers: map[uint64]*simServer{}}
	for _, u := range upstreams {
		s.servers[u.ID] = &simServer{entry: u}
	}
	s.publish()
	for n := range simClients {
		c := &simClient{shortLived: n%3 == 0, nextAt: s.now + time.Duration(s.rng.IntN(int(simThinkTime)))}
		s.clients = append(s.clients, c)
	}
	return s
}

// publish applies a roster of the present servers.
func (s *sim) publish() {
	var upstreams []sparroster.Upstream
	for id := range uint64(100) {
		if server := s.servers[id]; server != nil {
			upstreams = append(upstreams, server.entry)
		}
	}
	s.vm.apply(s.now, upstreams)
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, c := range s.clients {
			s.step(c)
		}
		s.sample()
	}
}

// sample counts the requests at each upstream.
func (s *sim) sample() {
	peak := 0
	for _, server := range s.servers {
		kept := server.busyUntil[:0]
		for _, end := range server.busyUntil {
			if end > s.now {
				kept = append(kept, end)
			}
		}
		server.busyUntil = kept
		peak = max(peak, len(kept))
		s.total += len(kept)
	}
	s.peak += peak
	s.samples++
}

func (s *sim) step(c *simClient) {
	switch {
	case !c.waiting && s.now >= c.nextAt:
		s.requests++
		c.waiting, c.startedAt, c.responseAt, c.unanswered = true, s.now, 0, false
		if c.open {
			s.request(c)
			return
		}
		s.newFlow(c)
	case c.waiting && s.now-c.startedAt >= simDeadline:
		s.failed++
		if c.open {
			last := c.s
			last.Kind = sparcookie.FIN
			s.send(c, last)
		}
		s.end(c)
		c.open = false
	case c.waiting && !c.open && c.synAckAt > 0 && s.now >= c.synAckAt:
		c.open = true
		c.s.Seq, c.s.Ack = c.s.Seq+1, 500
		s.send(c, c.s)
		s.request(c)
	case c.waiting && !c.open && s.now-c.sentAt >= retransmitAfter<<c.retransmits:
		c.retransmits++
		s.sendSYN(c)
	case c.waiting && c.open && c.responseAt > 0 && s.now >= c.responseAt:
		c.s.Seq, c.s.Ack = c.s.Seq+100, c.s.Ack+400
		s.send(c, c.s)
		if c.shortLived {
			last := c.s
			last.Kind = sparcookie.FIN
			s.send(c, last)
			c.open = false
		}
		s.end(c)
	case c.waiting && c.open && !c.unanswered && s.now-c.sentAt >= retransmitAfter:
		s.request(c)
	}
}

func (s *sim) end(c *simClient) {
	c.waiting = false
	c.nextAt = s.now + simThinkTime/2 + time.Duration(s.rng.IntN(int(simThinkTime)))
}

// newFlow opens a new flow for the pending request.
func (s *sim) newFlow(c *simClient) {
	s.port++
	*c = simClient{shortLived: c.shortLived, waiting: true, startedAt: c.startedAt}
	c.s = sparcookie.Segment{From: mustEndpoint(fmt.Sprintf("100.64.0.1:%d", s.port)), To: bookingAddr, Seq: 100}
	s.sendSYN(c)
}

func (s *sim) sendSYN(c *simClient) {
	o := c.s
	o.Kind, o.Ack = sparcookie.SYN, c.retransmits
	c.sentAt = s.now
	v := s.send(c, o)
	if server := s.servers[v.ID]; server != nil && !server.silent && c.synAckAt == 0 {
		c.synAckAt, c.upstream, c.s.Cookie = s.now+rtt, v.ID, v.Cookie
	}
}

// request sends the pending request on the open flow.
func (s *sim) request(c *simClient) {
	r := c.s
	r.Size = 100
	c.sentAt = s.now
	v := s.send(c, r)
	if v.Action == sparcookie.Reset {
		s.newFlow(c)
		return
	}
	if v.ID != c.upstream {
		s.moved++
	}
	server := s.servers[v.ID]
	if server == nil || server.silent || c.responseAt > 0 || c.unanswered {
		return
	}
	if server.hangRate > s.rng.Float64() {
		c.unanswered = true
		return
	}
	if n := len(server.busyUntil); n >= server.entry.Slots+simQueue {
		return // the queue is full
	} else if n >= server.entry.Slots {
		c.responseAt = server.busyUntil[n-server.entry.Slots] + simServiceTime
	} else {
		c.responseAt = s.now + simServiceTime
	}
	server.busyUntil = append(server.busyUntil, c.responseAt)
	c.responseAt += rtt
}

func (s *sim) send(_ *simClient, segment sparcookie.Segment) sparcookie.Verdict {
	return s.vm.forward(s.now, segment)
}

// imbalance returns the mean number of requests at the busiest upstream, divided by the
// mean over all upstreams.
func (s *sim) imbalance() float64 {
	return float64(s.peak) * float64(len(s.servers)) / float64(max(s.total, 1))
}

// TestAgainstPlainHashing runs fault patterns with an Engine and with rendezvous hashing
// alone, and compares the failed requests and the balance of the load.
func TestAgainstPlainHashing(t *testing.T) {
	patterns := []struct {
		name string
		play func(s *sim)
		// limit is the most failures of the Engine, as a fraction of those of plain hashing.
		limit float64
	}{
		{"no faults", func(s *sim) { s.run(10 * time.Second) }, 0},
		{"a server stops responding, its entry expires 3.6 s later", func(s *sim) {
			s.run(3 * time.Second)
			s.servers[2].silent = true
			s.run(3600 * time.Millisecond)
			delete(s.servers, 2)
			s.publish()
			s.run(3 * time.Second)
		}, 0.5},
		{"a third of the servers stops responding and recovers", func(s *sim) {
			s.run(3 * time.Second)
			s.servers[1].silent, s.servers[2].silent = true, true
			s.run(4 * time.Second)
			s.servers[1].silent, s.servers[2].silent = false, false
			s.run(4 * time.Second)
		}, 0.5},
		{"a third of the servers answers SYNs but only half of the requests", func(s *sim) {
			s.run(3 * time.Second)
			s.servers[1].hangRate, s.servers[2].hangRate = 0.5, 0.5
			s.run(8 * time.Second)
		}, 0.5},
		{"servers are replaced one after the other", func(s *sim) {
			for id := uint64(1); id <= 3; id++ {
				s.servers[id+10] = &simServer{entry: newUpstream(id+10, "north")}
				s.servers[id].entry.Draining = true
				s.publish()
				s.run(4 * time.Second)
			}
		}, 0},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			var upstreams []sparroster.Upstream
			for id := range uint64(6) {
				upstreams = append(upstreams, newUpstream(id+1, "north"))
			}
			engine := newSim(engineVM{newFixture(t)}, upstreams)
			hashing := newSim(&hashVM{flows: map[uint64]sparroster.Upstream{}}, upstreams)
			p.play(engine)
			p.play(hashing)
			t.Logf("engine: %d of %d failed, %d moved, busiest/mean %.2f", engine.failed, engine.requests, engine.moved, engine.imbalance())
			t.Logf("hashing: %d of %d failed, %d moved, busiest/mean %.2f", hashing.failed, hashing.requests, hashing.moved, hashing.imbalance())
			if engine.moved != 0 {
				t.Errorf("%d requests went to another upstream than the one of their flow", engine.moved)
			}
			if limit := p.limit * float64(hashing.failed); float64(engine.failed) > limit {
				t.Errorf("%d requests failed, want at most %.0f", engine.failed, limit)
			}
			if engine.imbalance() > hashing.imbalance() {
				t.Errorf("busiest/mean %.2f, plain hashing has %.2f", engine.imbalance(), hashing.imbalance())
			}
		})
	}
}
