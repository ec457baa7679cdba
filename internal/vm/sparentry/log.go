package sparentry

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// lateNotification is how long a notification may be under way before a line says so: much longer
// than between any two VMs that run.
const lateNotification = 500 * time.Millisecond

// logVerdict logs each decision other than plain forwarding within a flow. The flow field
// identifies the request, since clients log both ends of the connection that carried it.
func (vm *VM) logVerdict(s sparcookie.Segment, v sparcookie.Verdict) {
	if v.Answered {
		vm.metrics.recordLatency(v.First, v.Waited)
	}
	routine := v.Cause == sparcookie.Carried || v.Cause == sparcookie.Relayed
	if routine && !v.Unanswered && !v.Abandoned {
		return
	}
	fields := vm.flowFields(s, v)
	if v.Abandoned {
		vm.log.WithFields(fields).Info("request given up")
		return
	}
	switch v.Cause {
	case sparcookie.Carried, sparcookie.Assisted:
		if v.Relay != 0 {
			fields["through"] = v.Relay.String()
			if v.Second != 0 {
				fields["and_through"] = v.Second.String()
			}
		}
		vm.log.WithFields(fields).Info("data repeated")
	case sparcookie.Placed:
		vm.log.WithFields(fields).Info("opening")
	case sparcookie.Repeated, sparcookie.Moved:
		fields["copy"] = s.Ack
		vm.log.WithFields(fields).Info("opening again")
	default:
		fields["cookie"] = fmt.Sprintf("%08x", uint32(s.Cookie))
		vm.addAdmission(fields, s, v)
		vm.log.WithFields(fields).Warn("flow refused")
	}
}

func (vm *VM) flowFields(s sparcookie.Segment, v sparcookie.Verdict) logrus.Fields {
	roster := vm.engine.Roster()
	fields := logrus.Fields{
		"flow": s.From.String() + ">" + s.To.String(), "do": v.Action.String(), "cause": v.Cause.String(),
		"version": roster.Routing.Version, "revision": roster.At.Revision, "age_ms": vm.age.Milliseconds(),
	}
	if v.ID != 0 {
		fields["upstream"] = fmt.Sprintf("%x", v.ID)
		fields["at"] = v.At.String()
		fields["silent_ms"] = v.Silent.Milliseconds()
	}
	if v.Waited > 0 {
		fields["waited_ms"] = v.Waited.Milliseconds()
	}
	return fields
}

func (vm *VM) logBadPacket(err error, size int) {
	vm.log.WithFields(logrus.Fields{"cause": err.Error(), "bytes": size}).Warn("packet refused")
}

// logEvents logs upstreams that the settings add, change or remove, and changes of their
// health as observed by this VM.
func (vm *VM) logEvents() {
	for _, event := range vm.engine.Events() {
		switch e := event.(type) {
		case sparcookie.UpstreamUpdated:
			vm.logUpstream("upstream listed", e.Upstream, logrus.Fields{"draining": e.Upstream.Draining, "warm_ms": e.Upstream.Warm.Milliseconds()})
		case sparcookie.UpstreamUnusable:
			vm.logUpstream("upstream unusable", e.Upstream, logrus.Fields{"draining": e.Upstream.Draining})
		case sparcookie.UpstreamRemoved:
			vm.logUpstream("upstream left", e.Upstream, nil)
		case sparcookie.WarmHolder:
			vm.logWarmHolder(e)
		case sparcookie.HealthChanged:
			vm.logUpstream("upstream "+e.State, e.Upstream, logrus.Fields{"silent_ms": e.Silent.Milliseconds()})
		case sparcookie.OverloadChanged:
			vm.logOverload(e)
		case sparcookie.DomainChanged:
			vm.logDomain(e)
		}
	}
}

func (vm *VM) logUpstream(what string, u sparroster.Upstream, fields logrus.Fields) {
	vm.log.WithFields(fields).WithFields(logrus.Fields{
		"upstream": fmt.Sprintf("%x", u.ID), "at": u.At.String(), "service": u.Service, "domain": u.Domain,
		"revision": vm.registry.Position().Revision, "age_ms": vm.age.Milliseconds(),
	}).Info(what)
	vm.addEvent(what, u.Service, u.At.String(), 0)
}

func (vm *VM) addEvent(kind, service, subject string, count int) {
	vm.timeline.Add(spartimeline.Event{
		At: vm.stamps.Next(time.Now()), VM: vm.file.Name, Kind: kind, Service: service, Subject: subject, Count: count,
	})
}

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

// logState logs a change of this VM's role in reading and passing on the settings.
func (vm *VM) logState(before string) {
	now := vm.sync.State()
	if now == before {
		return
	}
	vm.log.WithFields(logrus.Fields{
		"before": before, "now": now, "reader": vm.sync.Reader(), "age_ms": vm.age.Milliseconds(),
	}).Info("settings role")
	vm.addEvent("settings-"+now, "", vm.sync.Reader(), 0)
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

func (vm *VM) logRegisterFailed(err error) {
	vm.log.WithFields(logrus.Fields{"cause": shortError(err)}).Warn("listing this VM failed, tried again")
}

func (vm *VM) logRegisterOthers(w newEntries) {
	vm.log.WithFields(logrus.Fields{"vms": len(w.entries), "first": w.entries[0].Key}).Info("listing VMs that have started")
}

func (vm *VM) logOthersRegistered(w newEntries, err error) {
	if err != nil {
		vm.log.WithFields(logrus.Fields{"vms": len(w.entries), "cause": shortError(err)}).Warn("listing others failed, they list themselves")
	}
}

func (vm *VM) logDeregister(name string, revision uint64) {
	vm.log.WithFields(logrus.Fields{"silent": name, "revision": revision, "age_ms": vm.age.Milliseconds()}).Warn("VM silent for long, its entry is taken out")
	vm.addEvent("unlisted", "", name, 0)
}

func (vm *VM) logDeregistered(key string, err error) {
	fields := logrus.Fields{"key": key, "outcome": "done"}
	if err != nil {
		fields["outcome"] = shortError(err)
	}
	vm.log.WithFields(fields).Info("entry taken out")
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

func (vm *VM) logStart() {
	vm.log.WithFields(logrus.Fields{
		"data": vm.file.Data, "control": vm.file.Control, "ready": vm.carrier.Ready, "platform": vm.file.Platform,
		"domain": vm.file.Domain, "force_ms": vm.carrier.Force.Milliseconds(), "grace_s": vm.carrier.Grace.Seconds(),
		"class": vm.file.VM().Size, "hedge": vm.carrier.Hedge, "probe": vm.carrier.Probe,
	}).Info("start")
	vm.addEvent("started", "", "", 0)
}

func (vm *VM) logReady() {
	vm.log.WithFields(logrus.Fields{
		"calls": vm.store.Calls(), "took_ms": time.Since(vm.began).Milliseconds(), "revision": vm.registry.Position().Revision,
	}).Info("ready")
}

func (vm *VM) logLeaving() {
	vm.log.WithFields(logrus.Fields{"flows": vm.engine.Flows(), "siblings": len(vm.siblings()), "grace_s": vm.carrier.Grace.Seconds()}).Info("leaving")
	vm.addEvent("leaving", "", "", 0)
}

func (vm *VM) logRefusing() {
	vm.log.WithFields(logrus.Fields{"flows": vm.engine.Flows(), "waited_ms": vm.leave.Waited().Milliseconds()}).Info("refusing probes")
	vm.addEvent("refusing", "", "", 0)
}

func (vm *VM) logReload() {
	vm.log.WithFields(logrus.Fields{"seeds": len(vm.file.Seeds), "grace_s": vm.carrier.Grace.Seconds()}).Info("reload")
	vm.addEvent("reload", "", "", 0)
}

func (vm *VM) logStop(err error) {
	fields := logrus.Fields{"calls": vm.store.Calls(), "ran_ms": time.Since(vm.began).Milliseconds()}
	if err != nil {
		fields["cause"] = err.Error()
	}
	vm.log.WithFields(fields).Info("stop")
}
