package sparentry

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/route/sparadmit"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// addAdmission adds to the line of a refused flow why its service counts as overloaded.
func (vm *VM) addAdmission(fields logrus.Fields, s sparcookie.Segment, v sparcookie.Verdict) {
	if v.Cause != sparcookie.Overloaded {
		return
	}
	a := vm.engine.AdmissionOf(s)
	addAdmissionState(fields, a.State)
	fields["service"], fields["priority"], fields["target_ms"] = a.Service, a.Priority, a.Target.Milliseconds()
}

func addAdmissionState(fields logrus.Fields, state sparadmit.State) {
	fields["refused_share"] = rounded(state.Refused)
	fields["pending"] = rounded(state.Pending)
	fields["vms"] = state.VMs
	fields["slots"] = state.Slots
	fields["queueing"] = rounded(state.Queueing)
	fields["response_ms"] = state.Response.Milliseconds()
	fields["service_ms"] = state.Service.Milliseconds()
}

// rounded returns a figure as written in logs.
func rounded(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }

// logOverload logs that this VM begins to refuse flows of a service because of overload, or stops.
func (vm *VM) logOverload(e sparcookie.OverloadChanged) {
	what := "overload ended"
	if e.Began {
		what = "overload began"
	}
	fields := logrus.Fields{"service": e.Service, "age_ms": vm.age.Milliseconds()}
	addAdmissionState(fields, e.State)
	vm.log.WithFields(fields).Warn(what)
	vm.addEvent(what, e.Service, "", int(e.State.Pending))
}

// publishAdmission publishes the admission state of each service and the refused flows by priority.
func (m *metrics) publishAdmission(engine *sparcookie.Engine) {
	for service, state := range engine.AdmissionStates() {
		scope := m.set.Scope.Tagged(map[string]string{"service": service})
		scope.Gauge("admission_level").Update(state.Refused)
		scope.Gauge("admission_pending").Update(state.Pending)
		scope.Gauge("admission_queueing").Update(state.Queueing)
		scope.Gauge("service_seconds").Update(state.Service.Seconds())
	}
	for priority, n := range engine.RejectedOpenings() {
		m.countTagged("rejected_openings", "priority", strconv.Itoa(priority), n)
	}
}
