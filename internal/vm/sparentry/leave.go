package sparentry

import (
	"slices"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// beginLeave begins to leave the fabric.
func (vm *VM) beginLeave() {
	vm.leave.Begin(vm.file.Name, vm.clock.now(), vm.carrier.Grace)
	vm.logLeaving()
	vm.coordinateLeave(vm.clock.now())
}

// coordinateLeave makes VMs of a failure domain that were told to stop leave one after the
// other: it sends announcements to them and refuses probes when it is this VM's turn.
func (vm *VM) coordinateLeave(now time.Duration) {
	if !vm.leave.Begun() {
		return
	}
	siblings := vm.siblings()
	refused := !vm.leave.Ready()
	for _, d := range vm.leave.Tick(len(siblings)+1, now) {
		for _, sibling := range siblings {
			vm.sendControl(sibling, sparcontrol.EncodeDeparture(d))
		}
	}
	if !vm.leave.Ready() && !refused {
		vm.ready.Store(false)
		vm.logRefusing()
	}
}

// siblings returns the other VMs of this failure domain.
func (vm *VM) siblings() []sparconfig.VM {
	return slices.DeleteFunc(vm.others(), func(other sparconfig.VM) bool { return other.Domain != vm.file.Domain })
}
