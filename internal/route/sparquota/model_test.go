package sparquota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparquota"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	modelAge   = time.Second // up to which settings are fresh
	modelStep  = 20 * time.Millisecond
	modelTime  = 40 * time.Second
	modelSeeds = 300
	upstreamID = 77
)

// Ways in which a VM gets its settings.
const (
	prompt  = iota // at once
	lagging        // always almost too old
	jumping        // none until they are almost too old, then the latest ones
	mixed          // of any age, at any time
	cut            // none
	modes
)

type (
	// fleet is VMs that use all of their parts at each moment, and a store that lists them.
	fleet struct {
		rng     *rand.Rand
		now     time.Duration
		era     uint64
		rev     uint64
		listed  map[string]listing
		history []listState
		vms     []*quotaVM
		sent    []time.Duration
	}

	listing struct {
		domain string
		at     sparregistry.Position
	}

	// listState is what the store lists from a moment on.
	listState struct {
		at     time.Duration
		era    uint64
		listed map[string]listing
	}

	quotaVM struct {
		name     string
		lease    *sparquota.Lease
		window   sparquota.Window
		applied  int
		freshAt  time.Duration
		mode     int
		paused   time.Duration // until then
		wakesOld bool          // after a pause it handles packets before it hears of anything
	}
)

func (f *fleet) put(name, domain string) {
	f.rev++
	next := map[string]listing{}
	for n, l := range f.listed {
		next[n] = l
	}
	delete(next, name)
	if domain != "" {
		next[name] = listing{domain, sparregistry.Position{Era: f.era, Revision: f.rev}}
	}
	f.publish(next)
}

func (f *fleet) publish(listed map[string]listing) {
	f.listed = listed
	f.history = append(f.history, listState{f.now, f.era, listed})
}

// restore takes the store back to an older list, in a new era, at revisions given out again.
func (f *fleet) restore() {
	old := f.history[max(0, len(f.history)-1-f.rng.IntN(4))]
	f.era++
	f.rev = max(f.rev, 3) - 3
	listed := map[string]listing{}
	for name, l := range old.listed {
		listed[name] = listing{l.domain, sparregistry.Position{Era: f.era, Revision: l.at.Revision}}
		f.rev = max(f.rev, l.at.Revision) // none is given out twice in an era
	}
	f.publish(listed)
}

func (f *fleet) start(vm *quotaVM) {
	vm.lease, vm.window, vm.applied, vm.freshAt = sparquota.NewLease(vm.name, modelAge), sparquota.Window{}, -1, 0
	vm.mode = f.rng.IntN(modes)
}

// completeAt returns how far the settings of a VM are complete from now on, by its mode.
func (f *fleet) completeAt(vm *quotaVM) time.Duration {
	switch age := f.now - vm.freshAt; {
	case vm.applied < 0 || vm.mode == prompt:
		return f.now
	case vm.mode == lagging:
		return f.now - modelAge + modelStep/2
	case vm.mode == jumping && age >= modelAge-2*modelStep:
		return f.now
	case vm.mode == mixed && f.rng.IntN(5) == 0:
		return vm.freshAt + time.Duration(f.rng.Int64N(int64(age)+1))
	}
	return vm.freshAt
}

// hear brings a VM its settings.
func (f *fleet) hear(vm *quotaVM) {
	vm.freshAt = max(vm.freshAt, f.completeAt(vm))
	i := len(f.history) - 1
	for i > 0 && f.history[i].at > vm.freshAt {
		i--
	}
	if i != vm.applied {
		vm.applied = i
		state := f.history[i]
		var members []sparquota.Member
		for name, l := range state.listed {
			members = append(members, sparquota.Member{Name: name, Domain: l.domain})
		}
		own, listed := state.listed[vm.name]
		vm.lease.List(f.now, members, sparquota.Entry{Listed: listed, At: own.at, Era: state.era})
	}
	vm.lease.Renew(f.now, f.now-vm.freshAt)
}

// use sends as many openings as the VM may.
func (f *fleet) use(vm *quotaVM, limit float64) {
	vm.lease.Expire(f.now)
	part := sparquota.Part(limit, vm.lease.Rank(upstreamID, "north"))
	for vm.lease.Active(f.now) && vm.window.Count(f.now) < part {
		vm.window.Add(f.now)
		f.sent = append(f.sent, f.now)
	}
}

// disturb does one thing to a VM or the store.
func (f *fleet) disturb() {
	vm := f.vms[f.rng.IntN(len(f.vms))]
	domain := []string{"north", "south"}[f.rng.IntN(2)]
	switch f.rng.IntN(8) {
	case 0:
		f.put(vm.name, "")
	case 1, 2:
		f.put(vm.name, domain)
	case 3:
		f.start(vm)
	case 4, 5:
		vm.mode = f.rng.IntN(modes)
	case 6: // maybe it is taken for gone meanwhile
		vm.paused = f.now + time.Duration(f.rng.Int64N(int64(8*modelAge)))
		vm.wakesOld = true
		if f.rng.IntN(2) == 0 {
			f.put(vm.name, "")
		}
	case 7:
		if f.rng.IntN(4) == 0 {
			f.restore()
		}
	}
}

func (f *fleet) step(limit float64) {
	f.now += modelStep
	f.rng.Shuffle(len(f.vms), func(i, j int) { f.vms[i], f.vms[j] = f.vms[j], f.vms[i] })
	for _, vm := range f.vms {
		if f.now < vm.paused {
			continue
		}
		if !vm.wakesOld {
			f.hear(vm)
		}
		vm.wakesOld = false
		f.use(vm, limit)
	}
}

func newFleet(seed uint64, vms int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 3)), now: modelStep, era: 1, listed: map[string]listing{}}
	for i := range vms {
		vm := &quotaVM{name: fmt.Sprint("vm-", i)}
		f.vms = append(f.vms, vm)
		f.start(vm)
		f.put(vm.name, []string{"north", "south"}[f.rng.IntN(2)])
	}
	return f
}

// TestSumOfParts plays VMs that all use the whole of their parts while they join, leave, restart, are
// paused, or hear of changes at once, late, by leaps or not at all, and a store that is restored: the
// sum stays within the limit in any second.
func TestSumOfParts(t *testing.T) {
	used := 0
	for seed := range uint64(modelSeeds) {
		f := newFleet(seed, 4+int(seed%4))
		limit := []float64{0.9, 1, 2, 4.5, 7, 30}[seed%6]
		pace := 1 + f.rng.IntN(100) // steps between two disturbances
		for f.now < modelTime {
			if f.rng.IntN(pace) == 0 {
				f.disturb()
			}
			f.step(limit)
		}
		if most := f.mostInASecond(); float64(most) > limit {
			t.Errorf("seed %d: %d openings in a second, limit %v", seed, most, limit)
		}
		used += len(f.sent)
	}
	if used < 50*modelSeeds {
		t.Errorf("%d openings in %d runs: the test shows little", used, modelSeeds)
	}
}

func (f *fleet) mostInASecond() (most int) {
	first := 0
	for i, at := range f.sent {
		for at-f.sent[first] > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitIsUsedWithoutAThirdOfVMs checks that undisturbed VMs use the whole limit under a load above it, and that
// the others go on with their parts when a third of the VMs dies and stays listed.
func TestLimitIsUsedWithoutAThirdOfVMs(t *testing.T) {
	const limit, vms, seconds = 11, 12, 30
	share := func(dead int) float64 {
		total := 0
		for seed := range uint64(40) {
			f := newFleet(seed, vms)
			for _, vm := range f.vms {
				vm.mode = prompt
			}
			f.vms = slices.Clone(f.vms[dead:])
			for f.now < sparquota.Wait(modelAge)+2*modelStep {
				f.step(limit)
			}
			f.sent = nil
			for end := f.now + seconds*time.Second; f.now < end; {
				f.step(limit)
			}
			total += len(f.sent)
		}
		return float64(total) / (limit * seconds * 40)
	}
	if got := share(0); got < 0.6 {
		t.Errorf("undisturbed: %.0f%% of the limit is used, want 60%%", 100*got)
	}
	if got := share(vms / 3); got < 0.3 {
		t.Errorf("a third of the VMs gone: %.0f%% of the limit is used, want 30%%", 100*got)
	}
}
