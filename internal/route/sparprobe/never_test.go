package sparprobe_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// neverTests are cases in which no flow may be reset. Each of the VMs suspects upstream 1.
var neverTests = map[string]func(f *fleet){
	"one VM is cut from the upstream": func(f *fleet) {
		f.reaches = func(v *vm, _ sparprobe.Upstream) bool { return v != f.vms[1] }
	},
	"a cut through the fleet, the upstream's domain beyond it": func(f *fleet) {
		beyond := func(v *vm) bool { return v.Domain == domain(0) }
		f.linked = func(a, b *vm) bool { return beyond(a) == beyond(b) }
		f.reaches = func(v *vm, u sparprobe.Upstream) bool { return beyond(v) == (u.Domain == domain(0)) }
	},
	"mute but running": func(*fleet) {}, // connections succeed
	"full: SYNs unanswered, flows answered elsewhere": func(f *fleet) {
		f.reaches = func(*vm, sparprobe.Upstream) bool { return false }
		for _, v := range f.vms[:6] {
			v.answered[f.upstream(1).Mark()] = f.now - 20*time.Millisecond
		}
		for _, v := range f.vms[6:] {
			v.answered[f.upstream(1).Mark()] = f.now - 150*time.Millisecond
		}
	},
	"slow: it answers after the first retransmission": func(f *fleet) {
		f.reaches = func(*vm, sparprobe.Upstream) bool { return false }
		f.after(70*time.Millisecond, func() {
			for _, v := range f.vms {
				v.answered[f.upstream(1).Mark()] = f.now
			}
		})
	},
	"answers late": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.late = sparprobe.RoundTime
	},
	"answerers sick, others reach it": func(f *fleet) {
		for n, v := range f.vms {
			v.sick = n%2 == 0
		}
	},
	"most answerers paused": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		for n, v := range f.vms {
			v.stopped = n%3 != 0 || n > 9
		}
	},
	"its domain's VMs paused": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		for _, v := range f.vms {
			v.stopped = v.Domain == domain(0)
		}
	},
	"answers of a VM that is not listed": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.edit = func(_ *vm, a *sparprobe.Answer) { a.From = "vm-99" }
	},
	"answers to a question of an earlier run": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.edit = func(_ *vm, a *sparprobe.Answer) { a.Run += 100 }
	},
	"answers in the name of one VM": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.edit = func(_ *vm, a *sparprobe.Answer) { a.From = "vm-3" }
	},
	"answers for an older start": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.edit = func(_ *vm, a *sparprobe.Answer) {
			a.Silent = []uint64{sparprobe.Upstream{ID: 1, Born: 6}.Mark()}
		}
	},
	"others know only another start": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		for _, v := range f.vms {
			v.unknown[f.upstream(1).Mark()] = true
		}
	},
	"restarted under its ID meanwhile": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.after(50*time.Millisecond, func() {
			for _, v := range f.vms {
				v.changed[f.upstream(1).Mark()] = f.now
			}
		})
	},
	"it drains and no longer listens, and some VMs have older settings": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		for n, v := range f.vms {
			v.draining = map[uint64]bool{f.upstream(1).Mark(): n%4 != 0}
		}
	},
	"the entries of most VMs were lost, and those left are cut from the upstream": func(f *fleet) {
		f.reaches = func(v *vm, _ sparprobe.Upstream) bool { return v != f.vms[0] && v != f.vms[3] }
		for _, v := range f.vms {
			v.asker.SetVMs([]sparprobe.VM{f.vms[0].VM, f.vms[3].VM})
		}
	},
	"the askers were paused": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.after(30*time.Millisecond, func() {
			for _, v := range f.vms {
				v.asker.Cancel()
			}
		})
	},
	"the answerers were paused": func(f *fleet) {
		f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
		f.after(60*time.Millisecond, func() {
			for _, v := range f.vms {
				v.answerer.Cancel()
			}
		})
	},
}

// TestDoubtGivesNoVerdict lets every VM suspect an upstream where no flow may be reset.
func TestDoubtGivesNoVerdict(t *testing.T) {
	for name, spoil := range neverTests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 24, 3)
			f.twice = name == "answers in the name of one VM"
			spoil(f)
			for _, v := range f.vms {
				if !v.stopped {
					f.suspect(v, f.upstream(1))
				}
			}
			f.run(time.Second)
			expectNever(t, f)
		})
	}
}

// TestThirdCutOff cuts a third of all VMs from an upstream, at random. They and the others suspect it.
func TestThirdCutOff(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0))
		f := newFleet(t, 24+int(seed%3)*36, 3)
		cut := map[*vm]bool{}
		for _, n := range r.Perm(len(f.vms))[:len(f.vms)/3] {
			cut[f.vms[n]] = true
		}
		f.reaches = func(v *vm, _ sparprobe.Upstream) bool { return !cut[v] }
		for v := range cut {
			f.suspect(v, f.upstream(1))
		}
		f.run(secondRetransmission)
		expectNever(t, f)
	}
}

// TestOneVMAlone gives no verdict: nobody else can tell whether the fault is on this side.
func TestOneVMAlone(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.kill(func(u sparprobe.Upstream) bool { return u.ID == 1 })
	f.suspect(f.vms[0], f.upstream(1))
	f.run(time.Second)
	expectNever(t, f)
}

// TestZeroVMsToAskAsksNobody asks nobody.
func TestZeroVMsToAskAsksNobody(t *testing.T) {
	u := sparprobe.Upstream{ID: 1}
	a := sparprobe.NewAsker(sparprobe.VM{Name: "vm-1"}, 1, 0)
	a.SetVMs([]sparprobe.VM{{Name: "vm-1"}, {Name: "vm-2"}})
	if list := a.Begin(time.Minute, []sparprobe.Suspect{{Upstream: u}}); len(list) > 0 {
		t.Errorf("%+v", list)
	}
}

// TestConnectionsAreBounded opens at most 32 connections at once, one for each upstream, and shares
// results for 200 ms.
func TestConnectionsAreBounded(t *testing.T) {
	var c sparprobe.Connections
	begun := 0
	for mark := range uint64(100) {
		for range 2 {
			if c.Begin(time.Minute, mark) {
				begun++
			}
		}
	}
	if begun != 32 {
		t.Errorf("%d connections at once, want 32", begun)
	}
	c.Done(time.Minute+step, 1, true)
	if c.Begin(time.Minute+190*time.Millisecond, 1) {
		t.Error("the result is not shared")
	}
	if !c.Begin(time.Minute+210*time.Millisecond, 1) {
		t.Error("an old result is shared")
	}
	c.Done(time.Minute+time.Second, 2, false)
	if _, known := c.Result(time.Minute+time.Second, 2); known {
		t.Error("a connection during a pause counts")
	}
}
