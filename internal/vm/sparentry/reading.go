package sparentry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
	"github.com/oleanderspar/oleanderspar/platform"
)

type (
	// order is a reading to make: of what changed after a revision, 0 for everything, or of
	// the VMs that are listed.
	order struct {
		began time.Duration
		after uint64
		vms   bool
	}

	// read is the outcome of a reading of the platform.
	read struct {
		order
		found found
		err   error
	}

	// found is what a reading has found. It is a sealed interface: whole, changes or peers.
	found interface {
		found()
	}

	// whole is everything that the platform holds.
	whole struct {
		platform.Reading
	}

	// changes is what has changed by the time the platform reached a revision.
	changes struct {
		platform.Changes
		reached uint64
	}

	// peers is the VMs that the platform lists.
	peers []sparconfig.VM
)

func (read) input()    {}
func (whole) found()   {}
func (changes) found() {}
func (peers) found()   {}

// reader is the thread that reads the platform.
func (vm *VM) reader(ctx context.Context) error {
	for {
		select {
		case o := <-vm.reads.Out():
			f, err := vm.readPlatform(ctx, o)
			vm.post(ctx, read{order: o, found: f, err: err})
		case <-ctx.Done():
			return nil
		}
	}
}

// readPlatform makes one reading. The revision comes first and linearizably, so that
// changes which the platform keeps back are noticed.
func (vm *VM) readPlatform(ctx context.Context, o order) (f found, err error) {
	after := o.after
	if o.vms {
		vms, err := vm.store.VMs(ctx)
		return peers(vms), err
	}
	if after == 0 {
		reading, err := vm.store.List(ctx)
		return whole{reading}, err
	}
	reached, err := vm.store.Revision(ctx)
	if err != nil || reached == after {
		return changes{reached: reached}, err
	}
	c, err := vm.store.Changes(ctx, after)
	if errors.Is(err, platform.ErrHistoryGone) {
		err = nil // without them the reading is incomplete, which its taker sees
	}
	return changes{Changes: c, reached: reached}, err
}

// takeReading takes the outcome of a reading.
func (vm *VM) takeReading(in read, now time.Duration) {
	vm.logStore(in.err)
	if in.err != nil && in.vms {
		vm.perform(vm.sync.PeekFailed(now), now)
		return
	}
	if in.err != nil {
		vm.perform(vm.sync.ReadFailed(now), now)
		return
	}
	size := 0
	switch f := in.found.(type) {
	case peers:
		vm.logPeers(len(f))
		vm.perform(vm.sync.Peeked(f, now), now)
		return
	case whole:
		size = f.Bytes
		vm.adopt(vm.withReading(f, now), "platform")
	case changes:
		next, ok := vm.registry.WithChanges(f.Entries, f.Revisions, in.after, f.reached)
		if !ok {
			vm.logBrokenReading(in.after, f)
			vm.perform(vm.sync.ReadBroken(now), now)
			return
		}
		vm.adopt(next, "platform")
	}
	vm.perform(vm.sync.ReadDone(in.began, vm.held(), size, now), now)
}

// withReading returns the registry after a whole reading. After an outage of the platform
// entries of upstreams may have lapsed while they live. They are kept for a while, and the
// registry is then not what the platform holds: it counts as complete at the revision
// that it had before, here and to the VMs that hear of it.
func (vm *VM) withReading(w whole, now time.Duration) sparregistry.Registry {
	settling := vm.sync.Failing() || vm.sync.Settling(now)
	if !settling {
		return vm.registry.Reading(w.Entries, w.Revision)
	}
	if missing := vm.registry.Missing(sparroster.UpstreamPrefix, w.Entries); missing > 0 {
		vm.logRetained(missing)
		return vm.registry.WithSome(w.Entries)
	}
	return vm.registry.Reading(w.Entries, w.Revision)
}
