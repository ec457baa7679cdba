package sparcookie_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	siteAge  = time.Second // up to which settings are fresh
	siteTick = 50 * time.Millisecond
	siteLate = 4 * siteTick
	siteWait = 2*siteAge + 2*time.Second // more than VMs wait before they act
)

type (
	// warmSite is VMs with real engines, a store with a history, and clients.
	warmSite struct {
		t       *testing.T
		rng     *rand.Rand
		now     time.Duration
		era     uint64
		rev     uint64
		facts   map[string]sparroster.Fact
		at      map[string]sparregistry.Position
		history []siteState
		down    time.Duration // store answers nobody until then
		vms     []*siteVM
		names   int
		nextID  uint64
		port    uint32
		due     map[time.Duration][]func()
		warm    map[uint64]*warmServer
		rates   []siteRate
		limits  []sparconfig.WarmLimit // settings of the VMs, in turn
		refused int
		opened  int
	}

	// siteState is the content of the store from a moment on.
	siteState struct {
		at     time.Duration
		roster sparroster.Roster
	}

	// siteRate is the warm rate in the store from a moment on.
	siteRate struct {
		at   time.Duration
		rate float64
	}

	// siteVM is one VM and what the site does to it.
	siteVM struct {
		name, domain string
		limit        sparconfig.WarmLimit
		engine       *sparcookie.Engine
		applied      int           // index in the history, -1 at first
		freshAt      time.Duration // its settings were complete
		fetchAt      time.Duration
		tickedAt     time.Duration
		pausedUntil  time.Duration
		cutUntil     time.Duration // from the store
		slowUntil    time.Duration // its settings arrive late
		silentUntil  time.Duration // it does not list itself
		dead         bool
		queue        []func()
	}

	// warmServer is an upstream with the openings that it got while it warmed up.
	warmServer struct {
		from, until time.Duration
		openings    []time.Duration
	}
)

func newWarmSite(t *testing.T, seed uint64, rate float64, limits ...sparconfig.WarmLimit) *warmSite {
	s := &warmSite{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Second, era: 1, facts: map[string]sparroster.Fact{}, at: map[string]sparregistry.Position{},
		due: map[time.Duration][]func(){}, warm: map[uint64]*warmServer{}, limits: limits,
	}
	s.setRate(rate)
	return s
}

// startUpstream starts an upstream that warms up for the time, and lists it a little later.
func (s *warmSite) startUpstream(domain string, warm time.Duration) {
	s.nextID++
	id, from, at := s.nextID*0x9E3779B97F4A7C15>>16, s.now, sparflow.MakeEndpoint(0x0a000000+uint32(s.nextID), 8080)
	s.warm[id] = &warmServer{from: from, until: from + warm}
	s.after(time.Duration(s.rng.IntN(300))*time.Millisecond, func() {
		u := newUpstream(id, domain)
		u.At, u.Warm = at, max(0, from+warm-s.now)
		s.put(fmt.Sprint(sparroster.UpstreamPrefix, id), u)
	})
}

func (s *warmSite) after(d time.Duration, do func()) {
	at := (s.now + max(d, time.Millisecond)).Truncate(time.Millisecond)
	s.due[at] = append(s.due[at], do)
}

// addVM adds a VM and, unless it is quiet about itself, its entry.
func (s *warmSite) addVM(domain string) *siteVM {
	s.names++
	vm := &siteVM{name: fmt.Sprintf("vm-%d", s.names), domain: domain, limit: s.limits[s.names%len(s.limits)]}
	s.vms = append(s.vms, vm)
	s.start(vm)
	s.list(vm)
	return vm
}

func (s *warmSite) list(vm *siteVM) {
	s.put(sparroster.VMPrefix+vm.name, sparroster.VM{VM: sparconfig.VM{Name: vm.name, Domain: vm.domain, Data: "10.9.0.1:1"}})
}

// start starts the process of a VM, which has lost its counts.
func (s *warmSite) start(vm *siteVM) {
	vm.engine = sparcookie.New(vm.name, vm.domain, 10_000)
	vm.engine.SetWarmLimit(vm.limit, siteAge, siteTick)
	vm.applied, vm.freshAt, vm.fetchAt, vm.tickedAt, vm.dead, vm.queue = -1, 0, 0, s.now, false, nil
}

// fetch brings a VM the settings of a moment that may be a while ago.
func (s *warmSite) fetch(vm *siteVM) {
	vm.fetchAt = s.now + time.Duration(50+s.rng.IntN(350))*time.Millisecond
	if s.now < vm.cutUntil || s.now < s.down {
		return
	}
	delay := time.Duration(s.rng.IntN(300)) * time.Millisecond
	if s.now < vm.slowUntil {
		delay = time.Duration(s.rng.Int64N(int64(2 * siteAge)))
	}
	complete := max(vm.freshAt, s.now-delay)
	i := len(s.history) - 1
	for i > 0 && s.history[i].at > complete {
		i--
	}
	vm.freshAt = complete
	if i != vm.applied {
		vm.applied = i
		vm.engine.Advance(s.now)
		vm.engine.Apply(s.history[i].roster)
	}
	roster := s.history[i].roster
	if _, listed := roster.VMEntryAt(vm.name); !listed && s.now >= vm.silentUntil && slices.Contains(s.vms, vm) {
		s.list(vm)
	}
}

func (s *warmSite) tick(vm *siteVM) {
	vm.tickedAt = s.now
	vm.engine.Advance(s.now)
	if vm.applied >= 0 {
		age := s.now - vm.freshAt
		vm.engine.SetFresh(age < siteAge)
		vm.engine.RenewWarm(s.now, age)
	}
	vm.engine.Tick()
}

// step runs one millisecond.
func (s *warmSite) step() {
	s.now += time.Millisecond
	for _, vm := range s.vms {
		if vm.dead || s.now < vm.pausedUntil {
			continue
		}
		if s.now >= vm.fetchAt { // after a pause, an input may come before the tick
			s.fetch(vm)
		}
		queue := vm.queue
		vm.queue = nil
		for _, handle := range queue {
			handle()
		}
		if s.now-vm.tickedAt >= siteTick {
			s.tick(vm)
		}
	}
	due := s.due[s.now]
	delete(s.due, s.now)
	for _, do := range due {
		do()
	}
}

// packet gives a packet to a VM. done gets the verdict, if there is one.
func (s *warmSite) packet(vm *siteVM, seg sparcookie.Segment, done func(v sparcookie.Verdict)) {
	if vm.dead {
		return
	}
	handle := func() {
		if vm.applied < 0 {
			return
		}
		if s.now-vm.tickedAt > siteLate {
			s.tick(vm)
		}
		vm.engine.Advance(s.now)
		v := vm.engine.Forward(seg)
		if seg.Kind == sparcookie.SYN {
			s.noteSYN(v)
		}
		done(v)
	}
	if s.now < vm.pausedUntil {
		vm.queue = append(vm.queue, handle)
		return
	}
	handle()
}

func (s *warmSite) noteSYN(v sparcookie.Verdict) {
	if v.Cause == sparcookie.WarmLimit {
		s.refused++
	}
	if v.Action != sparcookie.ToUpstream {
		return
	}
	s.opened++
	if w := s.warm[v.ID]; s.now < w.until {
		w.openings = append(w.openings, s.now)
	}
}
