package sparnode_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
)

// scenario is a random sequence of changes and failures in a small deployment.
type scenario struct {
	*lab
	t      *rapid.T
	states map[int]string // by number of the upstream: serve or drain
	flows  []*labFlow
	booted int
	opened int
}

func newScenario(outer testing.TB, t *rapid.T) *scenario {
	s := &scenario{lab: newLab(outer, rapid.Uint64Range(1, 1<<20).Draw(t, "seed")), t: t, states: map[int]string{}}
	s.tracing = true
	for range 5 {
		s.bootOne()
	}
	s.run(4 * time.Second)
	for i := range 4 {
		s.states[i+1] = sparconfig.Serve
	}
	s.write()
	s.run(time.Second)
	s.openSome()
	return s
}

func (s *scenario) bootOne() {
	s.booted++
	s.boot(fmt.Sprintf("vm-%d", s.booted), fmt.Sprintf("domain-%d", s.booted%3))
}

// write writes a document with the current states of the upstreams.
func (s *scenario) write() {
	d := document(1, 0)
	d.Spread = 0.02
	for i := 1; i <= 12; i++ {
		m := sparconfig.Member{At: upstreamAt(1, i), State: s.states[i]}
		if m.State == sparconfig.Drain {
			m.Until = s.wall().Add(time.Hour).Unix()
		}
		if m.State != "" {
			d.Upstreams = append(d.Upstreams, m)
		}
	}
	s.serve("booking", d)
}

// openSome opens flows without waiting until all are open.
func (s *scenario) openSome() {
	for range 60 {
		s.opened++
		f := &labFlow{service: "booking"}
		f.tuple.Client = client(s.opened)
		f.tuple.Service = endpoint("198.51.100.1:443")
		f.tuple.Proto = 6
		s.flows = append(s.flows, f)
		s.sendSYN(f)
	}
	s.run(200 * time.Millisecond)
	for _, f := range s.flows {
		if !f.open && !f.refused && f.broken == "" {
			s.sendSYN(f)
		}
	}
}

func (s *scenario) live() (n int) {
	for _, vm := range s.vms {
		if !vm.stopped && !vm.frozen && vm.node.Tracker.State() == "serving" {
			n++
		}
	}
	return n
}

func (s *scenario) serving() (n int) {
	for _, state := range s.states {
		if state == sparconfig.Serve {
			n++
		}
	}
	return n
}

// step makes one random change. No change may break a flow: even after a kill, a search
// finds the upstream of every flow.
func (s *scenario) step() {
	i := rapid.IntRange(1, 12).Draw(s.t, "upstream")
	switch what := rapid.SampledFrom([]string{
		"drain", "serve", "join", "leave", "kill", "freeze", "resume", "cut", "heal", "loss", "platform", "talk", "open", "wait",
	}).Draw(s.t, "what"); what {
	case "drain":
		if s.states[i] == sparconfig.Serve && s.serving() > 1 {
			s.states[i] = sparconfig.Drain
			s.write()
		}
	case "serve":
		s.states[i] = sparconfig.Serve
		s.write()
	case "join":
		if s.booted < 14 {
			s.bootOne()
		}
	case "leave":
		if vm := s.pick(); vm != nil && s.live() > 2 {
			s.lab.leave(vm.name, s.flows)
		}
	case "kill":
		if vm := s.pick(); vm != nil && s.live() > 3 {
			s.lab.kill(vm.name)
		}
	case "freeze":
		if vm := s.pick(); vm != nil && s.live() > 3 {
			vm.frozen = true
		}
	case "resume":
		for _, vm := range s.vms {
			vm.frozen = false
		}
	case "cut":
		s.partition(fmt.Sprintf("domain-%d", i%3))
	case "heal":
		s.heal()
	case "loss":
		s.loss = i
	case "platform":
		s.down = !s.down
	case "talk":
		s.exchange(s.flows, time.Second)
	case "open":
		s.openSome()
	}
	s.run(time.Duration(rapid.IntRange(1, 60).Draw(s.t, "ticks")) * sparnode.TickEvery)
}

// pick returns a serving VM that is not frozen.
func (s *scenario) pick() *labVM {
	n := rapid.IntRange(0, len(s.vms)-1).Draw(s.t, "vm")
	if vm := s.vms[n]; !vm.stopped && !vm.frozen && vm.node.Tracker.State() == "serving" {
		return vm
	}
	return nil
}

// TestMain sets the seed of the random runs, so that their result is reproducible.
// -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestRandomChangesBreakNothing(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newScenario(t, r)
		for range rapid.IntRange(1, 25).Draw(r, "steps") {
			s.step()
		}
		s.heal()
		s.down, s.loss = false, 0
		for _, vm := range s.vms {
			vm.frozen = false
		}
		s.run(8 * time.Second)
		n := s.broken(s.flows)
		for _, f := range s.flows {
			if f.broken != "" {
				r.Logf("%s %s, upstream %s, trace:", f.tuple.Client, f.broken, f.upstream)
				for _, line := range f.trace {
					r.Log(line)
				}
				break
			}
		}
		if n > 0 || s.misrouted > 0 {
			r.Fatalf("%d of %d flows broken, %d packets at another service", n, len(s.flows), s.misrouted)
		}
	})
}
