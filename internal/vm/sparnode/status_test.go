package sparnode_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
)

// survey queries the VMs that one VM expects. The delays between the responses vary, as in
// a real survey. VMs that cannot respond are reported as silent.
func (l *lab) survey(requester *labVM) *sparcontrol.SurveyReply {
	reply := &sparcontrol.SurveyReply{Answered: []*sparcontrol.FactsReply{requester.node.Facts()}}
	for _, vm := range requester.node.Expected() {
		l.run(time.Duration(l.rng.IntN(4)) * sparnode.TickEvery)
		target := l.vm(vm.Name)
		if target == nil || target.frozen || l.blocked(requester.name, vm.Name) || l.blocked(vm.Name, requester.name) {
			reply.Silent = append(reply.Silent, vm.Name)
			continue
		}
		reply.Answered = append(reply.Answered, target.node.Facts())
	}
	return reply
}

// falseLines returns the lines of a report that contradict the state of the lab.
func (l *lab) falseLines(r sparstatus.Report) (lines []string) {
	for _, f := range r.Facts {
		if f.Everywhere > 0 {
			for _, vm := range l.vms {
				s := vm.node.Snapshot().Service(f.Service)
				if !vm.stopped && vm.node.Tracker.State() == "serving" && (s == nil || s.At.Revision < f.Everywhere) {
					lines = append(lines, f.Text+" but not at "+vm.name)
				}
			}
		}
		if f.Drained != 0 {
			for flow := range l.upstreams[f.Drained].conns {
				if flow.open && flow.broken == "" {
					lines = append(lines, f.Text+" but "+flow.tuple.Client.String()+" is there")
				}
			}
		}
	}
	if r.Revision > l.revision {
		lines = append(lines, "a revision that was never written")
	}
	return lines
}

func TestStatusIsTrueWhenRead(t *testing.T) {
	const reads = 150
	wrong, facts, unknown, drainedSeen := 0, 0, 0, 0
	for seed := range uint64(6) {
		l, d, flows := booking(t, 200+seed, 2000)
		draining := upstreamAt(1, 3)
		for i := range reads {
			l.inject(i, d, draining)
			l.endSome(flows, draining)
			requester := l.spray()
			if requester == nil || requester.stopped || requester.frozen {
				continue
			}
			r := sparstatus.FromSurvey(l.survey(requester))
			for _, line := range l.falseLines(r) {
				wrong++
				t.Errorf("seed %d, read %d: %s", 200+seed, i, line)
			}
			for _, f := range r.Facts {
				facts++
				if f.Word == sparstatus.Retry {
					unknown++
				}
				if f.Drained != 0 {
					drainedSeen++
				}
			}
		}
	}
	t.Logf("%d lines read, %.1f%% not confirmed, %d said drained", facts, 100*float64(unknown)/float64(facts), drainedSeen)
	assertAtMost(t, "false lines", wrong, 0)
	if drainedSeen == 0 {
		t.Error("no line said drained: the test shows nothing")
	}
}

// endSome ends some of the flows at a draining upstream.
func (l *lab) endSome(flows []*labFlow, at string) {
	n := 0
	for _, f := range flows {
		if f.open && f.upstream == endpoint(at) && n < 4 {
			l.end(f)
			n++
		}
	}
}

// inject makes a change or a failure at some of the reads.
func (l *lab) inject(i int, d sparconfig.Document, draining string) {
	switch i {
	case 5:
		l.serve("booking", l.drained(d, draining))
	case 20:
		l.kill("vm-3")
	case 30:
		l.boot("vm-9", "domain-1")
	case 40:
		delete(l.entries, sparconfig.VMKey("vm-3"))
		l.revision++
	case 50:
		l.down = true
	case 60:
		l.vm("vm-5").frozen = true
	case 70:
		l.vm("vm-5").frozen = false
		l.down = false
	case 80:
		d.Spread = 0.1
		l.serve("booking", l.drained(d, draining))
	case 90:
		l.vm("vm-2").node.Stop()
	case 100:
		l.vm("vm-2").stopped = true
		delete(l.entries, sparconfig.VMKey("vm-2"))
		l.revision++
	case 110:
		l.partition("domain-0")
	case 125:
		l.heal()
	}
	l.run(time.Duration(l.rng.IntN(10)) * sparnode.TickEvery)
}
