package sparprobe_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// Example asks three VMs about an upstream that no VM reaches.
func Example() {
	self := sparprobe.VM{Name: "vm-1", Domain: "north"}
	u := sparprobe.Upstream{ID: 0x7f3a, Born: 5, Domain: "north"}
	look := func(uint64) (sparprobe.Upstream, bool) { return u, true }
	asker, connections := sparprobe.NewAsker(self, 1, 12), sparprobe.Connections{}
	asker.SetVMs([]sparprobe.VM{self, {Name: "vm-2", Domain: "north"}, {Name: "vm-3", Domain: "south"}, {Name: "vm-4", Domain: "south"}})

	now := time.Minute
	questions := asker.Begin(now, []sparprobe.Suspect{{Upstream: u, Since: now - 200*time.Millisecond}})
	for range asker.Wanted(now, &connections) {
		connections.Done(now+100*time.Millisecond, u.Mark(), false)
	}
	for _, q := range questions {
		_ = asker.Receive(now+110*time.Millisecond, sparprobe.Answer{From: q.To, Run: q.Run, Round: q.Round, Silent: q.Marks})
	}
	for _, o := range asker.Evaluate(now+120*time.Millisecond, &connections, look) {
		fmt.Printf("%s: %d asked, %d silent, for %s\n", o.Kind, o.Asked, o.Silent, o.Until-now-120*time.Millisecond)
	}
	// Output: gone: 3 asked, 3 silent, for 2s
}

const (
	step = 10 * time.Millisecond
	// hop is how long a message between two VMs is under way.
	hop = 2 * step
	// firstRetransmission is the age of a request at which its client sends it again.
	firstRetransmission = 200 * time.Millisecond
)

type (
	// fleet is VMs that share one view of time. All of them know the upstreams.
	fleet struct {
		t         *testing.T
		now       time.Duration
		vms       []*vm
		upstreams map[uint64]sparprobe.Upstream
		reaches   func(vm *vm, u sparprobe.Upstream) bool // whether a connection succeeds
		linked    func(a, b *vm) bool                     // whether messages pass
		edit      func(from *vm, a *sparprobe.Answer)     // of answers, nil for none
		late      time.Duration                           // more time under way for answers
		twice     bool                                    // answers arrive twice
		mail      []mail
	}

	vm struct {
		sparprobe.VM
		fleet       *fleet
		asker       *sparprobe.Asker
		answerer    sparprobe.Answerer
		connections sparprobe.Connections
		answered    map[uint64]time.Duration // last answer of an upstream to a client here
		changed     map[uint64]time.Duration
		unknown     map[uint64]bool // upstreams that this VM doesn't know
		draining    map[uint64]bool // upstreams that drain, as far as this VM knows
		stopped     bool            // paused: it does nothing
		sick        bool            // it finds every upstream silent
		outcomes    []sparprobe.Outcome
	}

	mail struct {
		at time.Duration
		do func()
	}
)

// newFleet returns VMs and upstreams, a third of each in each of three failure domains.
func newFleet(t *testing.T, vms, upstreams int) *fleet {
	f := &fleet{
		t: t, now: time.Minute, upstreams: map[uint64]sparprobe.Upstream{},
		reaches: func(*vm, sparprobe.Upstream) bool { return true },
		linked:  func(*vm, *vm) bool { return true },
	}
	var list []sparprobe.VM
	for n := range vms {
		list = append(list, sparprobe.VM{Name: fmt.Sprintf("vm-%d", n), Domain: domain(n)})
	}
	for n, self := range list {
		v := &vm{
			VM: self, fleet: f, asker: sparprobe.NewAsker(self, uint32(n), 12),
			answered: map[uint64]time.Duration{}, changed: map[uint64]time.Duration{}, unknown: map[uint64]bool{},
		}
		v.asker.SetVMs(list)
		f.vms = append(f.vms, v)
	}
	for n := range upstreams {
		u := sparprobe.Upstream{ID: uint64(n + 1), Born: 7, Domain: domain(n), Flows: 1}
		f.upstreams[u.Mark()] = u
	}
	return f
}

func domain(n int) string { return fmt.Sprintf("domain-%d", n%3) }

// upstream returns the upstream with an ID.
func (f *fleet) upstream(id uint64) sparprobe.Upstream {
	return f.upstreams[sparprobe.Upstream{ID: id, Born: 7}.Mark()]
}

// kill makes upstreams unreachable for all VMs.
func (f *fleet) kill(dead func(u sparprobe.Upstream) bool) {
	f.reaches = func(_ *vm, u sparprobe.Upstream) bool { return !dead(u) }
}

func (f *fleet) after(d time.Duration, do func()) {
	f.mail = append(f.mail, mail{at: f.now + d, do: do})
}

// suspect lets requests at a VM be retransmitted now for the first time.
func (f *fleet) suspect(v *vm, upstreams ...sparprobe.Upstream) {
	var list []sparprobe.Suspect
	for _, u := range upstreams {
		list = append(list, sparprobe.Suspect{Upstream: u, Since: f.now - firstRetransmission})
	}
	v.ask(v.asker.Begin(f.now, list))
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		waiting := f.mail
		f.mail = nil
		for _, m := range waiting {
			if m.at <= f.now {
				m.do()
			} else {
				f.mail = append(f.mail, m)
			}
		}
		for _, v := range f.vms {
			if !v.stopped {
				v.tick()
			}
		}
	}
}

func (v *vm) look(mark uint64) (u sparprobe.Upstream, ok bool) {
	u, ok = v.fleet.upstreams[mark]
	u.Answered, u.Changed, u.Draining = v.answered[mark], v.changed[mark], v.draining[mark]
	return u, ok && !v.unknown[mark]
}

func (v *vm) tick() {
	f := v.fleet
	v.ask(v.asker.Renew(f.now, v.look))
	for _, u := range v.asker.Wanted(f.now, &v.connections) {
		v.connect(u)
	}
	for _, a := range v.answerer.Due(f.now, v.Name, &v.connections, v.look) {
		v.answer(a)
	}
	v.outcomes = append(v.outcomes, v.asker.Evaluate(f.now, &v.connections, v.look)...)
}

func (v *vm) connect(u sparprobe.Upstream) {
	f, reached := v.fleet, v.fleet.reaches(v, u) && !v.sick
	d := sparprobe.ConnectTimeout
	if reached {
		d = hop
	}
	f.after(d, func() { v.connections.Done(f.now, u.Mark(), reached) })
}

func (v *vm) ask(questions []sparprobe.Addressed) {
	for _, q := range questions {
		v.fleet.send(v, q.To, func(to *vm) {
			for _, u := range to.answerer.Ask(v.fleet.now, q.Question, &to.connections, to.look) {
				to.connect(u)
			}
		})
	}
}

func (v *vm) answer(a sparprobe.AddressedAnswer) {
	f := v.fleet
	if f.edit != nil {
		f.edit(v, &a.Answer)
	}
	deliver := func(to *vm) { _ = to.asker.Receive(f.now, a.Answer) }
	f.after(f.late, func() { f.send(v, a.To, deliver) })
	if f.twice {
		f.send(v, a.To, deliver)
	}
}

// send lets a message arrive at the VM called to, unless it is cut off or stopped.
func (f *fleet) send(from *vm, to string, deliver func(to *vm)) {
	for _, v := range f.vms {
		if v.Name == to && f.linked(from, v) {
			f.after(hop, func() {
				if !v.stopped {
					deliver(v)
				}
			})
		}
	}
}

// gone returns the upstreams that a VM has found gone and not back.
func (v *vm) gone() map[uint64]bool {
	list := map[uint64]bool{}
	for _, o := range v.outcomes {
		switch o.Kind {
		case sparprobe.Gone, sparprobe.Confirmed:
			list[o.ID] = true
		case sparprobe.Back:
			delete(list, o.ID)
		}
	}
	return list
}

func expectGone(t *testing.T, v *vm, ids ...uint64) {
	t.Helper()
	gone := v.gone()
	for _, id := range ids {
		if !gone[id] {
			t.Errorf("%s: upstream %d is not gone: %+v", v.Name, id, v.outcomes)
		}
	}
	if len(gone) != len(ids) {
		t.Errorf("%s: %d upstreams are gone, want %d", v.Name, len(gone), len(ids))
	}
}

// expectNever fails if any VM has found an upstream gone, even for a moment.
func expectNever(t *testing.T, f *fleet) {
	t.Helper()
	for _, v := range f.vms {
		for _, o := range v.outcomes {
			if o.Kind == sparprobe.Gone {
				t.Errorf("%s: upstream %d is gone: %+v", v.Name, o.ID, o)
			}
		}
	}
}
