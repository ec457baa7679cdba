package sparentry

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// logOutcome logs the end of a round, and an upstream that is gone or back.
func (vm *VM) logOutcome(o sparprobe.Outcome) {
	fields := logrus.Fields{
		"upstream": fmt.Sprintf("%x", o.ID), "at": o.At.String(), "service": o.Service, "domain": o.Domain, "verdict": o.Kind.String(), "round_ms": o.Age.Milliseconds(),
	}
	if o.Asked > 0 {
		own := "unknown"
		if o.Tried {
			own = map[bool]string{true: "alive", false: "silent"}[o.Reached]
		}
		fields["asked"], fields["silent"], fields["alive"], fields["own"] = o.Asked, o.Silent, o.Alive, own
		fields["silent_ms"] = (vm.tickedAt - o.Answered).Milliseconds()
	}
	vm.log.WithFields(fields).Info("probe round")
	switch o.Kind {
	case sparprobe.Gone:
		vm.log.WithFields(fields).Warn("upstream gone")
		vm.addEvent("upstream gone", o.Service, fmt.Sprintf("%x", o.ID), o.Silent)
	case sparprobe.Back:
		vm.log.WithFields(fields).Warn("upstream no longer gone")
		vm.addEvent("upstream no longer gone", o.Service, fmt.Sprintf("%x", o.ID), o.Alive)
	}
}

// publish updates the metrics of the prober.
func (p *prober) publish(m *metrics) {
	p.refused.causes.publish(m, "refused_probes")
	m.count("sent_probes", p.stats.sent)
	m.count("answered_probes", p.stats.answers)
	m.count("unsent_probes", p.stats.unsent)
	m.count("probe_connections", p.stats.connections)
	m.count("undecided_probes", p.stats.outcomes[sparprobe.Undecided])
	m.count("gone_verdicts", p.stats.outcomes[sparprobe.Gone])
	m.count("confirmed_verdicts", p.stats.outcomes[sparprobe.Confirmed])
	m.count("ended_verdicts", p.stats.outcomes[sparprobe.Back])
	m.set.Scope.Gauge("gone_upstreams").Update(float64(p.asker.GoneCount()))
}
