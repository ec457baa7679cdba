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
	// registerEvery is the minimum time between two attempts to register this VM.
	registerEvery = time.Second
	// seedRegisterTimeout is how long a VM waits for the seeds that it has queried to
	// register it. It covers their next read round, the write, and a read at a small site.
	// Late registration does little harm: until then a VM queries others for settings.
	seedRegisterTimeout = 4 * time.Second
)

type (
	// registration is the state of this VM's own entry in the platform.
	registration struct {
		busy    bool                  // a write is under way
		tried   time.Duration         // time of the last attempt
		written sparregistry.Position // of the last write
	}

	// write is a write to the platform. It is a sealed interface: ownEntry, newEntries or
	// removal.
	write interface {
		write()
	}

	// ownEntry registers this VM.
	ownEntry struct {
		entry sparregistry.Entry
	}

	// newEntries registers other VMs that have started recently.
	newEntries struct {
		entries []sparregistry.Entry
	}

	// removal removes the entry of a VM that has been silent for long.
	removal struct {
		entry sparregistry.Entry
	}

	// wrote is the outcome of a write.
	wrote struct {
		write write
		at    sparregistry.Position
		err   error
	}
)

func (ownEntry) write()   {}
func (newEntries) write() {}
func (removal) write()    {}

func (wrote) input() {}

// register registers this VM in the platform if the settings lack its entry. The written
// entry reaches the registry only with the next read: added at once, it would make the
// registry look complete at a revision whose other changes have not been read.
func (vm *VM) register(now time.Duration) {
	if !vm.synced || vm.registration.busy || vm.sync.Failing() || vm.leave.Begun() ||
		vm.registration.tried > 0 && now-vm.registration.tried < registerEvery || vm.registry.Position().Compare(vm.registration.written) < 0 {
		return
	}
	key := sparroster.VMPrefix + vm.file.Name
	expected := uint64(0)
	text := vm.file.VM().Text()
	if held, ok := vm.onPlatform(key); ok {
		if string(held.Value) == string(text) {
			return
		}
		expected = held.Revision
	} else if vm.awaitsSeeds(now) {
		return
	}
	vm.registration.busy, vm.registration.tried = true, now
	vm.writes.Put(ownEntry{sparregistry.Entry{Key: key, Value: text, Revision: expected}})
}

// onPlatform returns the entry of a key if the platform holds it. An entry of an earlier era
// that is kept is not there any more.
func (vm *VM) onPlatform(key string) (e sparregistry.Entry, ok bool) {
	e, ok = vm.registry.Get(key)
	return e, ok && e.Era == vm.registry.Position().Era
}

// awaitsSeeds reports whether the seeds still have time to register this VM.
func (vm *VM) awaitsSeeds(now time.Duration) bool {
	seed := len(vm.file.Seeds) == 0 || slices.Contains(vm.file.Seeds, vm.file.Control)
	return !seed && now < seedRegisterTimeout
}

// registerOthers queues writes of entries for VMs that have started recently and have none
// yet.
func (vm *VM) registerOthers(vms []sparconfig.VM) {
	var entries []sparregistry.Entry
	for _, other := range vms {
		key := sparroster.VMPrefix + other.Name
		if _, ok := vm.onPlatform(key); !ok {
			entries = append(entries, sparregistry.Entry{Key: key, Value: other.Text()})
		}
	}
	for some := range slices.Chunk(entries, platform.MaxPut) {
		if w := (newEntries{some}); vm.writes.Put(w) {
			vm.logRegisterOthers(w) // if the ring is full, the VMs register themselves later
		}
	}
}

// deregister queues the removal of the entry of a VM that has been silent for long. The
// write fails if the entry has changed since it was read.
func (vm *VM) deregister(name string) {
	e, ok := vm.onPlatform(sparroster.VMPrefix + name)
	if ok && vm.writes.Put(removal{e}) {
		vm.logDeregister(name, e.Revision)
	}
}

// writeDone handles the outcome of a write.
func (vm *VM) writeDone(w wrote) {
	switch done := w.write.(type) {
	case removal:
		vm.logDeregistered(done.entry.Key, w.err)
	case newEntries:
		vm.logOthersRegistered(done, w.err)
	case ownEntry:
		vm.registration.busy = false
		if w.err != nil {
			vm.logRegisterFailed(w.err)
			return
		}
		vm.registration.written = w.at
	}
}

// platformWriter performs the writes to the platform until ctx ends.
func (vm *VM) platformWriter(ctx context.Context) error {
	for {
		select {
		case w := <-vm.writes.Out():
			outcome := wrote{write: w}
			switch w := w.(type) {
			case removal:
				outcome.err = vm.store.Remove(ctx, w.entry)
			case newEntries:
				outcome.at, outcome.err = vm.store.Put(ctx, w.entries...)
			case ownEntry:
				outcome.at, outcome.err = vm.store.Put(ctx, w.entry)
			}
			vm.post(ctx, outcome)
		case <-ctx.Done():
			return nil
		}
	}
}
