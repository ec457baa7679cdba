package sparentry

import (
	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// logEvacuations logs the evacuations of failure domains that come into force at this VM, and
// those that end.
func (vm *VM) logEvacuations(before, now sparroster.Roster, from origin) {
	for _, domain := range now.Evacuated {
		if !before.Evacuates(domain) {
			vm.logEvacuation("evacuation in force", "evacuated", domain, now, from)
		}
	}
	for _, domain := range before.Evacuated {
		if !now.Evacuates(domain) {
			vm.logEvacuation("evacuation ended", "evacuation-ended", domain, now, from)
		}
	}
}

func (vm *VM) logEvacuation(what, kind, domain string, now sparroster.Roster, from origin) {
	at, flows := now.EvacuatedAt(domain), vm.engine.EvacuatedFlows(domain)
	upstreams, unavailable := countEvacuated(now, domain)
	vm.log.WithFields(logrus.Fields{
		"domain": domain, "era": at.Era, "asked": at.Revision, "revision": now.At.Revision, "source": from.source,
		"upstreams": upstreams, "flows": flows, "unavailable": unavailable, "age_ms": vm.age.Milliseconds(),
	}).Warn(what)
	vm.addEvent(kind, "", domain, flows)
}

// countEvacuated returns the number of upstreams in a failure domain, and of the services that
// have upstreams in evacuated domains only.
func countEvacuated(r sparroster.Roster, domain string) (upstreams, unavailable int) {
	left := map[string]bool{} // services, and whether an upstream of them is outside
	for _, u := range r.Upstreams {
		if u.Domain == domain {
			upstreams++
		}
		left[u.Service] = left[u.Service] || !r.Evacuates(u.Domain)
	}
	for _, outside := range left {
		if !outside {
			unavailable++
		}
	}
	return upstreams, unavailable
}

// evacuationFacts returns the evacuations in force at this VM. It never claims that no flows are
// left: no VM has a record of all flows.
func (vm *VM) evacuationFacts() (facts []*sparcontrol.EvacuationFacts) {
	roster := vm.engine.Roster()
	for _, domain := range roster.Evacuated {
		at := roster.EvacuatedAt(domain)
		facts = append(facts, &sparcontrol.EvacuationFacts{
			Domain: domain, Era: at.Era, Revision: at.Revision,
			Flows: uint32(vm.engine.EvacuatedFlows(domain)), Unrecorded: true,
		})
	}
	return facts
}

// publishEvacuations updates the metrics of evacuations. The names of domains are the operators', so
// they are no labels: their number is not bounded.
func (m *metrics) publishEvacuations(vm *VM) {
	evacuated, flows := vm.engine.Roster().Evacuated, 0
	for _, domain := range evacuated {
		flows += vm.engine.EvacuatedFlows(domain)
	}
	m.set.Scope.Gauge("evacuated_domains").Update(float64(len(evacuated)))
	m.set.Scope.Gauge("evacuated_flows").Update(float64(flows))
}
