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

const (
	// sourcePlatform is the source of settings that this VM has read itself.
	sourcePlatform = "platform"
	// firstEra is the era of a platform that was never restored.
	firstEra = 1
)

type (
	// readRequest requests a read of the platform: of the registered VMs if vms is set,
	// otherwise of what changed after a position, unless that has more than limit bytes. The
	// zero Position requests a full read.
	readRequest struct {
		began time.Duration
		after sparregistry.Position
		limit int
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

	// incrementalRead is the changes after a position.
	incrementalRead struct {
		platform.Changes
		reached  sparregistry.Position // of the platform just before the changes were read
		tooLarge bool                  // the changes have more bytes than the limit
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

// readPlatform performs one read. An incremental read first gets the current position,
// linearizably, to detect changes that the platform omits. It gets no changes from a platform
// that has gone back, since they are not those after the position.
func (vm *VM) readPlatform(ctx context.Context, r readRequest) (result readResult, err error) {
	after := r.after
	if r.vms {
		vms, err := vm.store.VMs(ctx)
		return listedVMs(vms), err
	}
	if after.IsZero() {
		full, err := vm.store.List(ctx)
		return fullRead{full}, err
	}
	reached, err := vm.store.Position(ctx)
	if err != nil || reached.Era != after.Era || reached.Revision <= after.Revision {
		return incrementalRead{reached: reached}, err
	}
	if r.limit == 0 {
		return incrementalRead{reached: reached}, nil // incomplete, since none of the changes are read
	}
	c, err := vm.store.Changes(ctx, after.Revision, r.limit)
	tooLarge := errors.Is(err, platform.ErrTooLarge)
	if errors.Is(err, platform.ErrCompacted) || tooLarge {
		err = nil // readDone sees from the missing changes that the read is incomplete
	}
	if c.Era != reached.Era {
		c = platform.Changes{} // restored in between: incomplete as well
	}
	return incrementalRead{Changes: c, reached: reached, tooLarge: tooLarge}, err
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
		if r.At.Era < vm.registry.Position().Era {
			vm.logLateResponse(r.At)
			vm.perform(vm.sync.ReadFailed(now), now)
			return
		}
		size = r.Bytes
		vm.recordPlatform(r.At)
		vm.observe(r.At, origin{source: sourcePlatform}, now)
		vm.adopt(vm.withFullRead(r, now), origin{source: sourcePlatform})
	case incrementalRead:
		vm.recordPlatform(r.reached)
		next, ok := vm.registry.WithChanges(r.Entries, r.Revisions, in.after, r.reached)
		if !ok {
			vm.logIncompleteChanges(in.after, r)
			vm.perform(vm.sync.ReadIncomplete(r.tooLarge, now), now)
			return
		}
		vm.adopt(next, origin{source: sourcePlatform, after: in.after})
	}
	vm.perform(vm.sync.ReadDone(in.began, vm.held(), size, now), now)
}

// recordPlatform records the position of the platform that a read has shown.
func (vm *VM) recordPlatform(at sparregistry.Position) {
	vm.logWentBack(vm.platformAt, at)
	vm.platformAt = at
}

// observe begins to keep entries if a full read or a peer shows that the platform may have been
// restored recently. A settled peer has done so before.
func (vm *VM) observe(at sparregistry.Position, from origin, now time.Duration) {
	settledPeer := from.source != sourcePlatform && at.Revision > 0
	if vm.entersRestored(at) && (vm.synced || !settledPeer) {
		vm.logRestored(at, from)
		vm.sync.Restored(now)
	}
}

// entersRestored reports whether at is of a later era than the settings, so that the platform was
// restored. A VM without settings can't know when it was.
func (vm *VM) entersRestored(at sparregistry.Position) bool {
	held := vm.registry.Position()
	if !vm.synced {
		return at.Era > firstEra
	}
	return held.Era > 0 && at.Era > held.Era
}

// withFullRead returns the registry updated from a full read. After an outage of the
// platform, entries of live upstreams may have expired; missing entries are kept for a while.
// The registry then differs from the platform, so it keeps its previous position, both here
// and in notifications to other VMs.
func (vm *VM) withFullRead(r fullRead, now time.Duration) sparregistry.Registry {
	settling := vm.sync.Failing() || vm.sync.Settling(now)
	switch {
	case vm.entersRestored(r.At) || vm.registry.Restoring():
		return vm.withRestoredRead(r, settling, now)
	case settling:
		if missing := vm.registry.Missing(sparroster.UpstreamPrefix, r.Entries); missing > 0 {
			vm.logRetained(missing)
			return vm.registry.WithPartial(r.Entries)
		}
	}
	vm.logPassedOver(vm.registry.PassedOver(r.Entries))
	return vm.registry.WithFullRead(r.Entries, r.At)
}

// withRestoredRead does the same after a restore of the platform. Its copy may be of a time
// before writes that were acknowledged, of this VM too, so entries that it lacks or shows at an
// earlier state are kept until their writers have had time to write them again. Other VMs may
// keep some that this one never held, so it does not count as settled before either.
func (vm *VM) withRestoredRead(r fullRead, settling bool, now time.Duration) sparregistry.Registry {
	missing, later := vm.registry.Kept(r.Entries, r.At)
	if settling || later > 0 && vm.sync.Doubting(now) {
		vm.logKept(r.At, missing, later, settling)
		return vm.registry.WithRestoredRead(r.Entries, r.At, settling)
	}
	vm.logSettled(r.At, missing, later)
	return vm.registry.WithFullRead(r.Entries, r.At)
}
