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
	simStep     = time.Millisecond
	simWork     = 18 * time.Millisecond
	simDeadline = 500 * time.Millisecond
	simPause    = 150 * time.Millisecond
	simCallers  = 40
	simQueue    = 8 // requests that wait at an upstream
)

type (
	// decider is what a VM does with packets.
	decider interface {
		forward(now time.Duration, s sparcookie.Segment) sparcookie.Verdict
		apply(now time.Duration, upstreams []sparroster.Upstream)
	}

	// engineVM decides as the product does.
	engineVM struct {
		f *fixture
	}

	// hashVM sends each flow to the first of the listed upstreams in rendezvous order, a
	// copy of an opening too, and believes the list alone.
	hashVM struct {
		upstreams []sparroster.Upstream
		flows     map[uint64]sparroster.Upstream
	}

	// sim is upstreams and callers around one VM. Two of three callers use one flow as
	// long as it is answered, the others a flow for each request.
	sim struct {
		r       *rand.Rand
		now     time.Duration
		vm      decider
		servers map[uint64]*simServer
		callers []*simCaller
		port    uint16

		asked, failed, moved int
		peak, total, samples int // requests at the busiest upstream, at all
	}

	simServer struct {
		up      sparroster.Upstream
		silent  bool
		hangs   float64         // share of requests that it never answers
		working []time.Duration // ends of the requests at work or waiting
	}

	simCaller struct {
		brief     bool // one request a flow
		s         sparcookie.Segment
		open      bool
		home      uint64
		copies    uint32
		next      time.Duration // what it does next, and when
		asking    bool
		hung      bool          // the request will not be answered
		began     time.Duration // of the request
		sent      time.Duration
		answer    time.Duration // when the answer arrives, or 0
		handshake time.Duration // when the answer to its opening arrives, or 0
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
	home, ok := v.flows[key]
	if !ok {
		var names []uint64
		var open []sparroster.Upstream
		for _, u := range v.upstreams {
			if !u.Draining {
				open, names = append(open, u), append(names, u.ID)
			}
		}
		home = open[sparrank.Best(int(uint32(key)), names, func(int) bool { return true })]
		v.flows[key] = home
	}
	return sparcookie.Verdict{Action: sparcookie.ToUpstream, ID: home.ID, At: home.At, Cookie: sparcookie.Cookie(home.ID)}
}

func newSim(vm decider, upstreams []sparroster.Upstream) *sim {
	s := &sim{r: rand.New(rand.NewPCG(7, 7)), now: time.Second, vm: vm, servers: map[uint64]*simServer{}}
	for _, u := range upstreams {
		s.servers[u.ID] = &simServer{up: u}
	}
	s.list()
	for n := range simCallers {
		c := &simCaller{brief: n%3 == 0, next: s.now + time.Duration(s.r.IntN(int(simPause)))}
		s.callers = append(s.callers, c)
	}
	return s
}

// list puts the upstreams as they list themselves in force.
func (s *sim) list() {
	var upstreams []sparroster.Upstream
	for id := range uint64(100) {
		if server := s.servers[id]; server != nil {
			upstreams = append(upstreams, server.up)
		}
	}
	s.vm.apply(s.now, upstreams)
}

func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, c := range s.callers {
			s.step(c)
		}
		s.count()
	}
}

// count takes the requests at each upstream.
func (s *sim) count() {
	peak := 0
	for _, server := range s.servers {
		kept := server.working[:0]
		for _, end := range server.working {
			if end > s.now {
				kept = append(kept, end)
			}
		}
		server.working = kept
		peak = max(peak, len(kept))
		s.total += len(kept)
	}
	s.peak += peak
	s.samples++
}

func (s *sim) step(c *simCaller) {
	switch {
	case !c.asking && s.now >= c.next:
		s.asked++
		c.asking, c.began, c.answer, c.hung = true, s.now, 0, false
		if c.open {
			s.ask(c)
			return
		}
		s.fresh(c)
	case c.asking && s.now-c.began >= simDeadline:
		s.failed++
		if c.open {
			last := c.s
			last.Kind = sparcookie.Finishing
			s.send(c, last)
		}
		s.end(c)
		c.open = false
	case c.asking && !c.open && c.handshake > 0 && s.now >= c.handshake:
		c.open = true
		c.s.Seq, c.s.Ack = c.s.Seq+1, 500
		s.send(c, c.s)
		s.ask(c)
	case c.asking && !c.open && s.now-c.sent >= again<<c.copies:
		c.copies++
		s.opening(c)
	case c.asking && c.open && c.answer > 0 && s.now >= c.answer:
		c.s.Seq, c.s.Ack = c.s.Seq+100, c.s.Ack+400
		s.send(c, c.s)
		if c.brief {
			last := c.s
			last.Kind = sparcookie.Finishing
			s.send(c, last)
			c.open = false
		}
		s.end(c)
	case c.asking && c.open && !c.hung && s.now-c.sent >= again:
		s.ask(c)
	}
}

func (s *sim) end(c *simCaller) {
	c.asking = false
	c.next = s.now + simPause/2 + time.Duration(s.r.IntN(int(simPause)))
}

// fresh opens a new flow for the request that waits.
func (s *sim) fresh(c *simCaller) {
	s.port++
	*c = simCaller{brief: c.brief, asking: true, began: c.began}
	c.s = sparcookie.Segment{From: endpoint(fmt.Sprintf("100.64.0.1:%d", s.port)), To: watch, Seq: 100}
	s.opening(c)
}

func (s *sim) opening(c *simCaller) {
	o := c.s
	o.Kind, o.Ack = sparcookie.Opening, c.copies
	c.sent = s.now
	v := s.send(c, o)
	if server := s.servers[v.ID]; server != nil && !server.silent && c.handshake == 0 {
		c.handshake, c.home, c.s.Cookie = s.now+rtt, v.ID, v.Cookie
	}
}

// ask sends the request that waits on the open flow.
func (s *sim) ask(c *simCaller) {
	r := c.s
	r.Size = 100
	c.sent = s.now
	v := s.send(c, r)
	if v.Action == sparcookie.Reset {
		s.fresh(c)
		return
	}
	if v.ID != c.home {
		s.moved++
	}
	server := s.servers[v.ID]
	if server == nil || server.silent || c.answer > 0 || c.hung {
		return
	}
	if server.hangs > s.r.Float64() {
		c.hung = true
		return
	}
	if n := len(server.working); n >= server.up.Slots+simQueue {
		return // shed
	} else if n >= server.up.Slots {
		c.answer = server.working[n-server.up.Slots] + simWork
	} else {
		c.answer = s.now + simWork
	}
	server.working = append(server.working, c.answer)
	c.answer += rtt
}

func (s *sim) send(_ *simCaller, segment sparcookie.Segment) sparcookie.Verdict {
	return s.vm.forward(s.now, segment)
}

// imbalance is the mean of the requests at the busiest upstream, over that at all.
func (s *sim) imbalance() float64 {
	return float64(s.peak) * float64(len(s.servers)) / float64(max(s.total, 1))
}

// TestAgainstPlainHashing plays patterns against the product and against hashing alone.
func TestAgainstPlainHashing(t *testing.T) {
	patterns := []struct {
		name string
		play func(s *sim)
		// most is the share of plain hashing's failures that the product may have.
		most float64
	}{
		{"calm", func(s *sim) { s.run(10 * time.Second) }, 0},
		{"a server falls silent, its entry lapses 3.6 s later", func(s *sim) {
			s.run(3 * time.Second)
			s.servers[2].silent = true
			s.run(3600 * time.Millisecond)
			delete(s.servers, 2)
			s.list()
			s.run(3 * time.Second)
		}, 0.5},
		{"a third falls silent and comes back", func(s *sim) {
			s.run(3 * time.Second)
			s.servers[1].silent, s.servers[2].silent = true, true
			s.run(4 * time.Second)
			s.servers[1].silent, s.servers[2].silent = false, false
			s.run(4 * time.Second)
		}, 0.5},
		{"a third answers openings and leaves half of its requests", func(s *sim) {
			s.run(3 * time.Second)
			s.servers[1].hangs, s.servers[2].hangs = 0.5, 0.5
			s.run(8 * time.Second)
		}, 0.5},
		{"servers are replaced one after the other", func(s *sim) {
			for id := uint64(1); id <= 3; id++ {
				s.servers[id+10] = &simServer{up: upstream(id+10, "north")}
				s.servers[id].up.Draining = true
				s.list()
				s.run(4 * time.Second)
			}
		}, 0},
	}
	for _, p := range patterns {
		t.Run(p.name, func(t *testing.T) {
			var upstreams []sparroster.Upstream
			for id := range uint64(6) {
				upstreams = append(upstreams, upstream(id+1, "north"))
			}
			product := newSim(engineVM{newFixture(t)}, upstreams)
			hashing := newSim(&hashVM{flows: map[uint64]sparroster.Upstream{}}, upstreams)
			p.play(product)
			p.play(hashing)
			t.Logf("product: %d of %d failed, %d moved, busiest/mean %.2f", product.failed, product.asked, product.moved, product.imbalance())
			t.Logf("hashing: %d of %d failed, %d moved, busiest/mean %.2f", hashing.failed, hashing.asked, hashing.moved, hashing.imbalance())
			if product.moved != 0 {
				t.Errorf("%d requests went to another upstream than that of their flow", product.moved)
			}
			if most := p.most * float64(hashing.failed); float64(product.failed) > most {
				t.Errorf("%d requests failed, want at most %.0f", product.failed, most)
			}
			if product.imbalance() > hashing.imbalance() {
				t.Errorf("busiest/mean %.2f, plain hashing has %.2f", product.imbalance(), hashing.imbalance())
			}
		})
	}
}
