package sparentry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// servicesEvery is the time between two updates of the usual response times.
const servicesEvery = time.Second

// reporter shares evidence about upstreams with other VMs. Use newReporter.
type reporter struct {
	board      *sparevidence.Board
	budget     sparevidence.Budget
	vms        []sparconfig.VM // as listed
	upstreams  []sparevidence.Upstream
	peers      []sparconfig.VM // that reports go to
	far        []sparconfig.VM // that are told the load as well
	next       int             // index of the peer to begin with
	servicesAt time.Duration
	refused    refusals
	sent       uint64
	received   uint64
	unsent     uint64 // for lack of budget
}

func newReporter(self string) *reporter {
	return &reporter{board: sparevidence.New(self, rand.Uint32())}
}

// updateBoard tells the board the settings in force.
func (vm *VM) updateBoard(roster sparroster.Roster) {
	r := vm.reporter
	if !slices.Equal(roster.VMs, r.vms) {
		r.vms = roster.VMs
		vm.setPeers(roster.VMs)
		vm.prober.setVMs(vm.file.Name, roster.VMs)
	}
	same := slices.EqualFunc(roster.Upstreams, r.upstreams, func(u sparroster.Upstream, b sparevidence.Upstream) bool {
		return u.ID == b.ID && u.Born == b.Born && u.Service == b.Service
	})
	if same {
		return
	}
	r.upstreams = make([]sparevidence.Upstream, 0, len(roster.Upstreams))
	for _, u := range roster.Upstreams {
		r.upstreams = append(r.upstreams, sparevidence.Upstream{ID: u.ID, Born: u.Born, Service: u.Service})
	}
	r.board.SetUpstreams(r.upstreams)
}

// setPeers chooses the VMs that this one reports to.
func (vm *VM) setPeers(others []sparconfig.VM) {
	r, self := vm.reporter, vm.file.VM()
	vms, byName := []sparevidence.VM{{Name: self.Name, Domain: self.Domain}}, map[string]sparconfig.VM{}
	for _, other := range others {
		if other.Name != self.Name {
			vms = append(vms, sparevidence.VM{Name: other.Name, Domain: other.Domain})
			byName[other.Name] = other
		}
	}
	r.board.SetVMs(vms)
	r.peers, r.far = nil, nil
	for _, name := range r.board.Peers(true) {
		if other := byName[name]; other.Domain == self.Domain {
			r.peers = append(r.peers, other)
		} else {
			r.far = append(r.far, other)
		}
	}
}

// shareEvidence takes in what this VM has seen, puts weights that have changed in force, and
// sends the report that is due.
func (vm *VM) shareEvidence(now time.Duration) {
	r := vm.reporter
	r.board.Observe(now, vm.engine.Observations())
	r.board.SetPressed(vm.engine.Pressed())
	for _, c := range r.board.Evaluate(now) {
		vm.engine.SetWeight(c.Upstream.ID, c.Weight)
		vm.logWeight(c)
	}
	if now-r.servicesAt >= servicesEvery {
		r.servicesAt = now
		for _, service := range vm.engine.Services() {
			vm.engine.SetUsual(service, r.board.Usual(service, now))
		}
	}
	if r.board.Pressed() {
		vm.updateAdmissionViews(now)
	}
	if report, due := r.board.Compose(now); due {
		vm.sendReport(report, now)
	}
}

// updateAdmissionViews tells admission the load of each service at all VMs, if enough of them have
// reported.
func (vm *VM) updateAdmissionViews(now time.Duration) {
	for _, service := range vm.engine.Services() {
		if l := vm.reporter.board.Load(service, now); l.Whole {
			vm.engine.SetAdmissionView(service, l.Requests, l.VMs, l.Oldest)
		}
	}
}

// sendReport sends a report to the peers in turn, as far as the budget allows.
func (vm *VM) sendReport(report sparevidence.Report, now time.Duration) {
	r := vm.reporter
	to := r.peers
	if r.board.Pressed() {
		to = append(append([]sparconfig.VM{}, r.peers...), r.far...)
	}
	b := sparcontrol.EncodeEvidence(report)
	for n := range to {
		if !r.budget.Take(now, len(b)) {
			r.unsent += uint64(len(to) - n)
			r.next += n
			return
		}
		vm.sendControl(to[(r.next+n)%len(to)], b)
		r.sent++
	}
}

// receiveReport takes in the report of another VM.
func (vm *VM) receiveReport(report sparevidence.Report, now time.Duration) {
	r := vm.reporter
	if err := r.board.Receive(now, report); err != nil {
		vm.refuse(&r.refused, "report refused", report.From, err, now)
		return
	}
	r.received++
}

// publish updates the metrics of the reporter.
func (r *reporter) publish(m *metrics) {
	r.refused.causes.publish(m, "refused_reports")
	m.count("sent_reports", r.sent)
	m.count("received_reports", r.received)
	m.count("unsent_reports", r.unsent)
	ejected, eased := r.board.Weighed()
	m.set.Scope.Gauge("ejected_upstreams").Update(float64(ejected))
	m.set.Scope.Gauge("eased_upstreams").Update(float64(eased))
}

// logWeight logs a weight by the evidence of several VMs, and which ones have reported.
func (vm *VM) logWeight(c sparevidence.Change) {
	what := "upstream eased by evidence"
	switch c.Weight {
	case 0:
		what = "upstream ejected by evidence"
	case 1:
		what = "upstream restored by evidence"
	}
	vm.log.WithFields(logrus.Fields{
		"upstream": fmt.Sprintf("%x", c.Upstream.ID), "service": c.Upstream.Service, "weight": c.Weight, "cause": string(c.Cause),
		"witnesses": c.Witnesses, "failures": c.Counts.Failures(), "answered": c.Counts.Answered, "slow": c.Counts.Slow,
	}).Info(what)
	vm.addEvent(what, c.Upstream.Service, fmt.Sprintf("%x", c.Upstream.ID), len(c.Witnesses))
}

// logDomain logs that a failure domain is suspect as a whole, or no longer.
func (vm *VM) logDomain(e sparcookie.DomainChanged) {
	what := "domain answers again"
	if e.Suspect {
		what = "domain suspect"
	}
	vm.log.WithFields(logrus.Fields{
		"domain": e.Domain, "upstreams": e.Upstreams, "silent_ms": e.Silent.Milliseconds(), "age_ms": vm.age.Milliseconds(),
	}).Warn(what)
	vm.addEvent(what, "", e.Domain, e.Upstreams)
}
