package sparentry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// lateNotification is how long a notification may be under way before a line says so: much longer
// than between any two VMs that run.
const lateNotification = 500 * time.Millisecond

// logSettings logs the settings now in force and the entries newly left out of them.
func (vm *VM) logSettings(before, now sparroster.Roster, from origin) {
	vm.log.WithFields(logrus.Fields{
		"revision": now.At.Revision, "before": before.At.Revision, "version": now.Routing.Version,
		"source": from.source, "after": from.after.Revision, "era": now.At.Era,
		"routes": len(now.Routing.Routes), "upstreams": len(now.Upstreams), "vms": len(now.VMs),
	}).Info("settings in force")
	vm.addEvent("in-force", "", from.source, int(now.At.Revision))
	vm.logEvacuations(before, now, from)
	known := map[sparroster.Problem]bool{}
	for _, p := range before.Problems {
		known[p] = true
	}
	for _, p := range now.Problems {
		if !known[p] {
			vm.log.WithFields(logrus.Fields{"key": p.Key, "era": p.At.Era, "revision": p.At.Revision, "cause": p.Cause}).Warn("entry left out")
		}
	}
}

// logRead logs a failed read of the platform, and when the platform becomes unavailable or
// available again.
func (vm *VM) logRead(err error) {
	vm.reachable = err == nil
	if err == nil {
		vm.regainPlatform(vm.file.Name)
		return
	}
	vm.log.WithFields(logrus.Fields{"cause": shortError(err), "age_ms": vm.age.Milliseconds()}).Warn("platform call failed")
	if !vm.platformLost {
		vm.platformLost = true
		vm.logDependency("dependency lost", vm.file.Name)
	}
}

// regainPlatform logs that fresh settings arrive again after a failed read of the platform.
// through is the VM that read them: this VM or the reader that notified it.
func (vm *VM) regainPlatform(through string) {
	if vm.platformLost {
		vm.platformLost = false
		vm.logDependency("dependency regained", through)
	}
}

func (vm *VM) logDependency(what, through string) {
	vm.log.WithFields(logrus.Fields{
		"dependency": "platform", "at": vm.file.Platform, "through": through, "age_ms": vm.age.Milliseconds(),
	}).Warn(what)
	vm.addEvent(what, "", "platform", 0)
}

func (vm *VM) logPullFailed(p pull, err error) {
	vm.log.WithFields(logrus.Fields{
		"peer": p.req.From.Name, "at": p.req.From.Control, "cause": shortError(err), "age_ms": vm.age.Milliseconds(),
	}).Warn("peer did not answer")
}

func (vm *VM) logListedVMs(n int) {
	vm.log.WithFields(logrus.Fields{"seeds": len(vm.file.Seeds), "vms": n}).Info("no seed answers, listed VMs are asked")
}

func (vm *VM) logPeerBusy(p pull, referral sparconfig.VM) {
	fields := logrus.Fields{"peer": p.req.From.Name, "at": p.req.From.Control, "after": p.req.After.Revision, "age_ms": vm.age.Milliseconds()}
	if referral.Name != "" {
		fields["elsewhere"] = referral.Name
	}
	vm.log.WithFields(fields).Info("peer busy")
}

func (vm *VM) logIncompleteChanges(after sparregistry.Position, c incrementalRead) {
	vm.log.WithFields(logrus.Fields{
		"after": after.Revision, "reached": c.reached.Revision, "era": c.reached.Era, "changes": len(c.Revisions), "too_large": c.tooLarge, "age_ms": vm.age.Milliseconds(),
	}).Warn("changes incomplete, everything is read")
}

// noteUnderWay logs a notification that was under way for long, and counts one that does not tell.
func (vm *VM) noteUnderWay(n sparsync.Notification, now time.Duration) {
	d, ok := vm.sync.UnderWay(n.Timing, now)
	if !ok {
		vm.metrics.unverified.Add(1)
		return
	}
	if d >= lateNotification {
		vm.log.WithFields(logrus.Fields{
			"from": n.From.Name, "reader": n.Reader, "revision": n.At.Revision,
			"under_way_ms": d.Milliseconds(), "told_age_ms": n.Age.Milliseconds(), "age_ms": vm.age.Milliseconds(),
		}).Info("notification was late")
	}
}
