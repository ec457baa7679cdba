package sparentry

import (
	"context"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// listEvery is the least time between two tries to list this VM.
const listEvery = time.Second

type (
	// listing is the entry that this VM keeps in the platform.
	listing struct {
		busy bool
		at   time.Duration      // last try
		held sparregistry.Entry // as last written
	}

	// write is a change of the platform: the listing of this VM, or the removal of that
	// of another one.
	write struct {
		entry   sparregistry.Entry
		removal bool
	}

	// wrote is the outcome of a write.
	wrote struct {
		write
		err error
	}
)

func (wrote) input() {}

// register lists this VM in the platform where the settings lack it. What it writes
// comes back with the next reading: taken over at once, it would make the registry
// look complete at a revision whose other changes it has not seen.
func (vm *VM) register(now time.Duration) {
	if !vm.synced || vm.listed.busy || vm.sync.Failing() || vm.leave.Begun() ||
		vm.listed.at > 0 && now-vm.listed.at < listEvery || vm.registry.Revision() < vm.listed.held.Revision {
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
	}
	vm.listed.busy, vm.listed.at = true, now
	vm.writes.Put(write{entry: sparregistry.Entry{Key: key, Value: text, Revision: expected}})
}

// unlist takes the entry of a VM out of the platform that has been silent for long. The
// entry must not have changed since it was read.
func (vm *VM) unlist(name string) {
	e, ok := vm.registry.Get(sparroster.VMPrefix + name)
	if ok && vm.writes.Put(write{entry: e, removal: true}) {
		vm.logUnlist(name, e.Revision)
	}
}

// takeWrite takes the outcome of a write.
func (vm *VM) takeWrite(w wrote) {
	if w.removal {
		vm.logUnlisted(w.entry.Key, w.err)
		return
	}
	vm.listed.busy = false
	if w.err != nil {
		vm.logListFailed(w.err)
		return
	}
	vm.listed.held = w.entry
}

// registrar is the thread that writes to the platform.
func (vm *VM) registrar(ctx context.Context) error {
	for {
		select {
		case w := <-vm.writes.Out():
			var err error
			if w.removal {
				err = vm.store.Remove(ctx, w.entry)
			} else {
				w.entry, err = vm.store.Put(ctx, w.entry)
			}
			vm.post(ctx, wrote{write: w, err: err})
		case <-ctx.Done():
			return nil
		}
	}
}
