package sparentry

import (
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// logWentBack logs that the platform is at an earlier position than at the last read of this
// VM: it has lost changes.
func (vm *VM) logWentBack(before, now sparregistry.Position) {
	if before.Era == now.Era && now.Revision >= before.Revision || before.Era == 0 {
		return
	}
	vm.log.WithFields(logrus.Fields{
		"before_era": before.Era, "before": before.Revision, "era": now.Era, "revision": now.Revision,
		"held": vm.registry.Position().Revision, "age_ms": vm.age.Milliseconds(),
	}).Warn("platform went back")
}

// logRestored logs that this VM enters an era of the platform that follows another one. held is
// 0 for a VM that starts.
func (vm *VM) logRestored(at sparregistry.Position, from origin) {
	held := vm.registry.Position()
	vm.metrics.restores.Add(1)
	vm.log.WithFields(logrus.Fields{
		"before_era": held.Era, "held": held.Revision, "era": at.Era, "revision": at.Revision, "source": from.source,
		"age_ms": vm.age.Milliseconds(),
	}).Warn("platform was restored from an older copy")
	vm.addEvent("platform-restored", "", from.source, int(at.Era))
}

// logKept logs how many entries of earlier eras this VM keeps although a read of the restored
// platform lacks them or shows an earlier state of them.
func (vm *VM) logKept(at sparregistry.Position, missing, later int, settling bool) {
	if !settling {
		missing = 0
	}
	if missing+later == 0 {
		return
	}
	vm.log.WithFields(logrus.Fields{
		"later": later, "missing": missing, "era": at.Era, "revision": at.Revision,
	}).Warn("entries kept that the restored platform has lost")
}

// logSettled logs that the restored platform decides alone again. missing and later are the
// entries that this VM had kept and now gives up.
func (vm *VM) logSettled(at sparregistry.Position, missing, later int) {
	vm.log.WithFields(logrus.Fields{
		"era": at.Era, "revision": at.Revision, "missing": missing, "later": later,
	}).Info("settled on the restored platform")
}

// logLateResponse logs a read that shows the platform as it was before its restore.
func (vm *VM) logLateResponse(at sparregistry.Position) {
	vm.log.WithFields(logrus.Fields{
		"era": at.Era, "revision": at.Revision, "held_era": vm.registry.Position().Era,
	}).Warn("read of an earlier era left out")
}

// logPassedOver logs the entries of a full read that this VM leaves out because it holds
// another value at a later revision.
func (vm *VM) logPassedOver(passed []sparregistry.PassedOver) {
	if len(passed) == 0 {
		return
	}
	vm.metrics.passedOver.Add(uint64(len(passed)))
	first := passed[0]
	vm.log.WithFields(logrus.Fields{
		"entries": len(passed), "first": first.Read.Key, "revision": first.Read.Revision, "held": first.Held.Revision,
		"deleted": first.Held.Deleted, "era": vm.platformAt.Era, "reached": vm.platformAt.Revision,
	}).Warn("entries passed over, later ones are held")
}

func (vm *VM) logRetained(n int) {
	vm.log.WithFields(logrus.Fields{"upstreams": n}).Warn("missing upstreams kept while the platform settles")
}
