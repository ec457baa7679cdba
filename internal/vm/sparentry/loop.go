package sparentry

import (
	"context"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	// tickEvery is the interval of the event loop's timer: a fraction of the 200 ms after
	// which a client retransmits a packet.
	tickEvery = 50 * time.Millisecond
	// lateTick is the time since the last tick from which on a packet is handled only after the
	// next one.
	lateTick = 4 * tickEvery
	// startTick is the interval until the VM has settings. It is shorter so that waiting for
	// ticks does not delay the start.
	startTick = 5 * time.Millisecond
)

// eventLoop handles packets, inputs, queries and ticks one at a time. It alone accesses
// the state. stop is done when the VM is to leave.
func (vm *VM) eventLoop(workers, stop context.Context, reload <-chan sparconfig.File) error {
	ticker := time.NewTicker(startTick)
	defer ticker.Stop()
	starting := true
	stopping := stop.Done()
	left := vm.left
	vm.tick()
	for {
		select {
		case p := <-vm.packets.Out():
			vm.tickIfLate()
			vm.forward(p)
		case <-vm.hedges.due():
			vm.sendHedges()
		case in := <-vm.inputs.Out():
			vm.dispatch(in)
		case query := <-vm.queries.Out():
			query(vm)
		case file := <-reload:
			vm.reload(file)
		case <-ticker.C:
			vm.tick()
			if starting && vm.synced {
				starting = false
				ticker.Reset(tickEvery)
			}
			if left != nil && vm.leave.Done(vm.clock.now()) {
				close(left)
				left = nil
			}
		case <-vm.drained:
			return nil
		case <-stopping:
			stopping = nil
			vm.beginLeave()
		case <-workers.Done():
			return nil
		}
	}
}

// reload applies the settings that may change while the VM runs: the seeds and the grace
// time. Addresses stay.
func (vm *VM) reload(file sparconfig.File) {
	vm.file.Seeds = file.Seeds
	if carrier, ok := file.CarrierSettings().(sparconfig.CookieCarrier); ok {
		vm.carrier.Grace = carrier.Grace
	}
	vm.sync.Seeds(file.Seeds)
	vm.logReload()
}

// tickIfLate does the periodic work if it is late: settings have aged while this VM was paused.
func (vm *VM) tickIfLate() {
	if time.Since(vm.began)-vm.tickedAt > lateTick {
		vm.tick()
	}
}

// tick does the periodic work of the event loop.
func (vm *VM) tick() {
	now := vm.clock.now()
	vm.tickedAt = time.Since(vm.began)
	vm.engine.Advance(vm.tickedAt)
	vm.engine.SetFresh(vm.sync.Fresh(now))
	vm.age = vm.sync.Age(now)
	vm.renewWarm()
	vm.engine.Tick()
	state := vm.sync.State()
	vm.perform(vm.sync.Tick(now), now)
	if vm.sync.Fresh(now) {
		vm.regainPlatform(vm.sync.Reader())
	}
	vm.register(now)
	vm.coordinateLeave(now)
	vm.shareEvidence(now)
	vm.probeUpstreams()
	vm.logState(state)
	vm.logEvents()
	vm.metrics.publish(vm)
}
