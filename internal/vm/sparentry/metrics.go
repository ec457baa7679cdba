package sparentry

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/oleanderspar/oleanderspar/internal/log/sparmetrics"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// latencyBuckets range from the latency of a flow within a failure domain to the timeout of
// a client.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// metrics holds the counters of one VM and publishes them.
type metrics struct {
	set        *sparmetrics.Set
	published  time.Time
	badPackets causes
	unread     atomic.Uint64 // datagrams that could not be read from the kernel
	unsent     atomic.Uint64 // datagrams that the kernel refused
	early      atomic.Uint64 // packets dropped before the first settings
	badControl atomic.Uint64
	control    atomic.Uint64     // bytes of control datagrams sent
	served     atomic.Uint64     // pulls of peers that were served
	busy       atomic.Uint64     // pulls of peers that were refused because of overload
	unverified atomic.Uint64     // notifications that do not tell how long they were under way
	passedOver atomic.Uint64     // entries of full reads that were older than those held
	restores   atomic.Uint64     // eras of the platform that followed another one
	counts     map[string]uint64 // totals published last
}

func newMetrics() *metrics {
	return &metrics{set: sparmetrics.New(), badPackets: causes{}, counts: map[string]uint64{}}
}

// countBadPacket counts a datagram that is not a valid packet of a client.
func (m *metrics) countBadPacket(err error) { m.badPackets[err.Error()]++ }

// publish updates the metrics about once a second.
func (m *metrics) publish(vm *VM) {
	now := time.Now()
	if now.Sub(m.published) < sparmetrics.PublishEvery {
		return
	}
	m.published = now
	m.publishVerdicts(vm.engine.Stats())
	m.publishHedges(vm.engine.HedgeStats())
	m.publishAdmission(vm.engine)
	vm.reporter.publish(m)
	vm.prober.publish(m)
	m.badPackets.publish(m, "refused_packets")
	m.count("platform_calls", vm.store.Calls())
	m.count("control_bytes", m.control.Load())
	m.count("served_pulls", m.served.Load())
	m.count("busy_pulls", m.busy.Load())
	m.count("platform_restores", m.restores.Load())
	m.count("passed_over_entries", m.passedOver.Load())
	m.count("unverified_notifications", m.unverified.Load())
	m.count("refused_control", m.badControl.Load())
	m.count("early_packets", m.early.Load())
	m.count("unread_datagrams", m.unread.Load())
	m.count("unsent_datagrams", m.unsent.Load())
	m.count("full_rings", vm.packets.Refused()+vm.inputs.Refused()+vm.queries.Refused()+
		vm.pulls.Refused()+vm.reads.Refused()+vm.writes.Refused()+vm.connects.Refused())
	m.publishEvacuations(vm)
	roster := vm.engine.Roster()
	m.set.Scope.Gauge("settings_revision").Update(float64(roster.At.Revision))
	m.set.Scope.Gauge("platform_era").Update(float64(vm.platformAt.Era))
	m.set.Scope.Gauge("platform_revision").Update(float64(vm.platformAt.Revision))
	m.set.Scope.Gauge("settings_version").Update(float64(roster.Routing.Version))
	m.set.Scope.Gauge("settings_age_seconds").Update(vm.age.Seconds())
	m.set.Scope.Gauge("flows").Update(float64(vm.engine.Flows()))
}

func (m *metrics) publishVerdicts(stats sparcookie.Stats) {
	for _, c := range sparcookie.Causes() {
		m.countTagged("packets", "cause", c.String(), stats.Verdicts[c])
	}
	m.count("lost_requests", stats.Abandoned)
	m.count("warm_openings", stats.WarmOpenings)
	m.count("warm_refusals", stats.WarmRefusals)
	m.count("suspect_domains", stats.Suspected)
	m.count("gone_resets", stats.GoneResets)
}

// count publishes a counter by its total.
func (m *metrics) count(name string, now uint64) {
	m.set.Scope.Counter(name).Inc(int64(now - m.counts[name]))
	m.counts[name] = now
}

// countTagged publishes the counter of one value of a tag by its total, once that is above 0.
func (m *metrics) countTagged(name, tag, value string, now uint64) {
	key := name + " " + value
	if before := m.counts[key]; now > before {
		m.set.Scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(int64(now - before))
		m.counts[key] = now
	}
}

// recordLatency records how long a client waited for the first sign of a response. first
// is set if it waited for the response to the first packet of a flow.
func (m *metrics) recordLatency(first bool, waited time.Duration) {
	name := "answer_seconds"
	if first {
		name = "opening_seconds"
	}
	m.set.Scope.Histogram(name, latencyBuckets).RecordDuration(waited)
}
