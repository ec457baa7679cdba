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

// sourcePlatform is the source of settings that this VM has read itself.
const sourcePlatform = "platform"

type (
	// readRequest requests a read of the platform: of the registered VMs if vms is set,
	// otherwise of what changed after a revision, where 0 requests a full read.
	readRequest struct {
		began time.Duration
		after uint64
		vms   bool
	}

	// read is the outcome of a read of the platform.
	read struct {
		readRequest
		result readResult
		err    error
	}

	// readResult is the data read. It is a sealed interface: fullRead, incrementalRead or
	// listedVMs.
	readResult interface {
		readResult()
	}

	// fullRead is the whole content of the platform.
	fullRead struct {
		platform.Listing
	}

	// incrementalRead is the changes after a revision.
	incrementalRead struct {
		platform.Changes
		reached sparregistry.Position // of the platform just before the changes were read
	}

	// listedVMs are the VMs registered in the platform.
	listedVMs []sparconfig.VM
)

func (read) input()                 {}
func (fullRead) readResult()        {}
func (incrementalRead) readResult() {}
func (listedVMs) readResult()       {}

// platformReader performs the reads of the platform until ctx ends.
func (vm *VM) platformReader(ctx context.Context) error {
	for {
		select {
		case r := <-vm.reads.Out():
			result, err := vm.readPlatform(ctx, r)
			vm.post(ctx, read{readRequest: r, result: result, err: err})
		case <-ctx.Done():
			return nil
		}
	}
}

// readPlatform performs one read. An incremental read first gets the current revision,
// linearizably, to detect changes that the platform omits.
func (vm *VM) readPlatform(ctx context.Context, r readRequest) (result readResult, err error) {
	after := r.after
	if r.vms {
		vms, err := vm.store.VMs(ctx)
		return listedVMs(vms), err
	}
	if after == 0 {
		full, err := vm.store.List(ctx)
		return fullRead{full}, err
	}
	reached, err := vm.store.Position(ctx)
	if err != nil || reached.Revision == after {
		return incrementalRead{reached: reached}, err
	}
	c, err := vm.store.Changes(ctx, after)
	if errors.Is(err, platform.ErrCompacted) {
		err = nil // readDone sees from the missing changes that the read is incomplete
	}
	return incrementalRead{Changes: c, reached: reached}, err
}

// readDone handles the outcome of a read.
func (vm *VM) readDone(in read, now time.Duration) {
	vm.logRead(in.err)
	if in.err != nil && in.vms {
		vm.perform(vm.sync.ListVMsFailed(now), now)
		return
	}
	if in.err != nil {
		vm.perform(vm.sync.ReadFailed(now), now)
		return
	}
	size := 0
	switch r := in.result.(type) {
	case listedVMs:
		vm.logListedVMs(len(r))
		vm.perform(vm.sync.VMsListed(r, now), now)
		return
	case fullRead:
		size = r.Bytes
		vm.observe(r.At)
		vm.logPassedOver(vm.registry.PassedOver(r.Entries))
		vm.adopt(vm.withFullRead(r, now), origin{source: sourcePlatform})
	case incrementalRead:
		vm.observe(r.reached)
		next, ok := vm.registry.WithChanges(r.Entries, r.Revisions, in.after, r.reached.Revision)
		if !ok {
			vm.logIncompleteChanges(in.after, r)
			vm.perform(vm.sync.ReadIncomplete(now), now)
			return
		}
		vm.adopt(next, origin{source: sourcePlatform, after: in.after})
	}
	vm.perform(vm.sync.ReadDone(in.began, vm.held(), size, now), now)
}

// observe records the position of the platform that a read has shown, and logs when it has
// gone back.
func (vm *VM) observe(at sparregistry.Position) {
	before := vm.platformAt
	vm.platformAt = at
	if before.Era > 0 && at.Era != before.Era || at.Revision < before.Revision {
		vm.logWentBack(before, at)
	}
}

// withFullRead returns the registry updated from a full read. After an outage of the
// platform, entries of live upstreams may have expired; missing entries are kept for a while.
// The registry then differs from the platform, so it keeps its previous revision, both here
// and in notifications to other VMs.
func (vm *VM) withFullRead(r fullRead, now time.Duration) sparregistry.Registry {
	settling := vm.sync.Failing() || vm.sync.Settling(now)
	if !settling {
		return vm.registry.WithFullRead(r.Entries, r.At.Revision)
	}
	if missing := vm.registry.Missing(sparroster.UpstreamPrefix, r.Entries); missing > 0 {
		vm.logRetained(missing)
		return vm.registry.WithPartial(r.Entries)
	}
	return vm.registry.WithFullRead(r.Entries, r.At.Revision)
}
