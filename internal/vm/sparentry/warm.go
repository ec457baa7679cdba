package sparentry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// warmAgeShare divides the bound into the part up to which the age of settings allows openings to
// upstreams that warm up. Settings of VMs that are not disturbed are younger.
const warmAgeShare = 2

// setWarmLimit limits the openings of upstreams that warm up.
func (vm *VM) setWarmLimit() {
	vm.engine.SetWarmLimit(vm.carrier.Warm, vm.carrier.Bound()/warmAgeShare, vm.carrier.Beat)
}

// renewWarm tells the engine how old the settings are. It reads the clock of the engine first: a
// pause between the two then makes the settings look older, never younger.
func (vm *VM) renewWarm() {
	at := time.Since(vm.began)
	if vm.sync.Synced() {
		vm.engine.RenewWarm(at, vm.sync.Age(vm.clock.now()))
	}
}

// logWarmHolder logs that this VM may send openings to an upstream that warms up, or no more.
func (vm *VM) logWarmHolder(e sparcookie.WarmHolder) {
	what := "quota lost"
	if e.Holder {
		what = "quota held"
	}
	vm.logUpstream(what, e.Upstream, logrus.Fields{"part": e.Part, "warm_ms": e.Upstream.Warm.Milliseconds()})
}
