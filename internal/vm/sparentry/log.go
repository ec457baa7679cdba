package sparentry

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

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
