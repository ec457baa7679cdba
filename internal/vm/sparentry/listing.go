package sparentry

import (
	"context"
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// listEvery is the least time between two tries to list this VM.
	listEvery = time.Second
	// listPatience is how long a VM leaves it to the seeds that it has asked: their next
	// round, its write, and a reading on a small site. A late listing harms little, since a
	// VM asks others for settings while nobody tells it.
	listPatience = 4 * time.Second
)

type (
	// listing is the entry that this VM keeps in the platform.
	listing struct {
		busy bool
		at   time.Duration // last try
		held uint64        // revision at which it was last written
	}

	// write is a change of the platform. It is a sealed interface: listOwn, listOthers or
	// takeOut.
	write interface {
		write()
	}

	// listOwn lists this VM.
	listOwn struct {
		entry sparregistry.Entry
	}

	// listOthers lists VMs that have started lately.
	listOthers struct {
		entries []sparregistry.Entry
	}

	// takeOut removes the entry of a VM that is gone for good.
	takeOut struct {
		entry sparregistry.Entry
	}

	// wrote is the outcome of a write.
	wrote struct {
		write    write
		revision uint64
		err      error
	}
)

func (listOwn) write()    {}
func (listOthers) write() {}
func (takeOut) write()    {}

func (wrote) input() {}

// register lists this VM in the platform where the settings lack it. What it writes
// comes back with the next reading: taken over at once, it would make the registry
// look complete at a revision whose other changes it has not seen.
func (vm *VM) register(now time.Duration) {
	if !vm.synced || vm.listed.busy || vm.sync.Failing() || vm.leave.Begun() ||
		vm.listed.at > 0 && now-vm.listed.at < listEvery || vm.registry.Revision() < vm.listed.held {
		return
	}
	key := sparroster.VMPrefix + vm.file.Name
	expected := uint64(0)
	text := vm.file.VM().Text()
	if held, ok := vm.registry.Get(key); ok {
		if string(held.Value) == string(text) {
			return
		}
		expected = held.Revision
	} else if vm.listedByOthers(now) {
		return
	}
	vm.listed.busy, vm.listed.at = true, now
	vm.writes.Put(listOwn{sparregistry.Entry{Key: key, Value: text, Revision: expected}})
}

// listedByOthers reports whether the seeds are still given time to list this VM.
func (vm *VM) listedByOthers(now time.Duration) bool {
	seed := len(vm.file.Seeds) == 0 || slices.Contains(vm.file.Seeds, vm.file.Control)
	return !seed && now < listPatience
}

// enlist lists VMs that have started lately, each if it is absent still.
func (vm *VM) enlist(vms []sparconfig.VM) {
	var entries []sparregistry.Entry
	for _, other := range vms {
		key := sparroster.VMPrefix + other.Name
		if _, ok := vm.registry.Get(key); !ok {
			entries = append(entries, sparregistry.Entry{Key: key, Value: other.Text()})
		}
	}
	for some := range slices.Chunk(entries, platform.MaxPut) {
		if w := (listOthers{some}); vm.writes.Put(w) {
			vm.logEnlist(w) // one that finds no room is left to the VMs themselves
		}
	}
}

// unlist takes the entry of a VM out of the platform that has been silent for long. The
// entry must not have changed since it was read.
func (vm *VM) unlist(name string) {
	e, ok := vm.registry.Get(sparroster.VMPrefix + name)
	if ok && vm.writes.Put(takeOut{e}) {
		vm.logUnlist(name, e.Revision)
	}
}

// takeWrite takes the outcome of a write.
func (vm *VM) takeWrite(w wrote) {
	switch of := w.write.(type) {
	case takeOut:
		vm.logUnlisted(of.entry.Key, w.err)
	case listOthers:
		vm.logEnlisted(of, w.err)
	case listOwn:
		vm.listed.busy = false
		if w.err != nil {
			vm.logListFailed(w.err)
			return
		}
		vm.listed.held = w.revision
	}
}

// registrar is the thread that writes to the platform.
func (vm *VM) registrar(ctx context.Context) error {
	for {
		select {
		case w := <-vm.writes.Out():
			outcome := wrote{write: w}
			switch w := w.(type) {
			case takeOut:
				outcome.err = vm.store.Remove(ctx, w.entry)
			case listOthers:
				outcome.revision, outcome.err = vm.store.Put(ctx, w.entries...)
			case listOwn:
				outcome.revision, outcome.err = vm.store.Put(ctx, w.entry)
			}
			vm.post(ctx, outcome)
		case <-ctx.Done():
			return nil
		}
	}
}
