package sparnode_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	bigFlows     = 30_000
	bigVMs       = 8
	bigUpstreams = 15
)

// booking returns a lab with the service booking and its open flows.
func booking(t *testing.T, seed uint64, flows int) (*lab, sparconfig.Document, []*labFlow) {
	l := newLab(t, seed)
	l.bootAll(bigVMs)
	l.run(4 * time.Second)
	d := document(1, bigUpstreams)
	l.serve("booking", d)
	l.run(2 * time.Second)
	return l, d, l.open("booking", flows, 0)
}

// exchange runs the lab for d, while every other flow sends a packet each half second.
func (l *lab) exchange(flows []*labFlow, d time.Duration) {
	for range d / (500 * time.Millisecond) {
		for i := 0; i < len(flows); i += 2 {
			if flows[i].open && flows[i].broken == "" {
				l.sendData(flows[i])
			}
		}
		l.run(500 * time.Millisecond)
	}
}

// replace starts one VM and stops another one, which hands over.
func (l *lab) replace(leaver, joiner string, flows []*labFlow) {
	l.boot(joiner, "domain-0")
	l.leave(leaver, flows)
}

func (l *lab) leave(name string, flows []*labFlow) {
	vm := l.vm(name)
	vm.node.Stop()
	for range 20 {
		l.exchange(flows, 500*time.Millisecond)
		if vm.node.HandedOver() {
			break
		}
	}
	vm.stopped, vm.stoppedAt = true, l.now-fabricLag
	delete(l.entries, sparconfig.VMKey(name))
	l.revision++
}

func TestPlannedChanges(t *testing.T) {
	cases := []struct {
		name   string
		change func(l *lab, d sparconfig.Document, flows []*labFlow)
	}{
		{"no change", func(l *lab, d sparconfig.Document, flows []*labFlow) {}},
		{"upstream drains", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.serve("booking", l.drained(d, upstreamAt(1, 3)))
		}},
		{"upstream joins", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.serve("booking", document(1, bigUpstreams+1))
		}},
		{"VM joins", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.boot("vm-9", "domain-0")
		}},
		{"VM leaves", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.leave("vm-2", flows)
		}},
		{"upstreams change and a VM is replaced at once", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.serve("booking", l.drained(document(1, bigUpstreams+1), upstreamAt(1, 3), upstreamAt(1, 4)))
			l.replace("vm-2", "vm-9", flows)
		}},
		{"settings reach VMs at different times", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.settingsDelay = func(vm string) time.Duration { return time.Duration(vm[3]-'1') * 700 * time.Millisecond }
			l.serve("booking", l.drained(d, upstreamAt(1, 3)))
			l.exchange(flows, 2*time.Second)
			l.serve("booking", l.drained(document(1, bigUpstreams+1), upstreamAt(1, 3), upstreamAt(1, 5)))
			l.exchange(flows, 5*time.Second)
		}},
		{"every VM replaced", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			for i := range bigVMs {
				l.replace(l.vms[i].name, "new-"+l.vms[i].name, flows)
			}
		}},
		{"drain, replace all, drain", func(l *lab, d sparconfig.Document, flows []*labFlow) {
			l.serve("booking", l.drained(d, upstreamAt(1, 3)))
			l.exchange(flows, time.Second)
			for i := range bigVMs {
				l.replace(l.vms[i].name, "new-"+l.vms[i].name, flows)
			}
			l.serve("booking", l.drained(d, upstreamAt(1, 3), upstreamAt(1, 7)))
		}},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, d, flows := booking(t, uint64(i+1), bigFlows)
			c.change(l, d, flows)
			l.exchange(flows, 5*time.Second)
			assertAtMost(t, "broken flows", l.broken(flows), 0)
			assertAtMost(t, "broken flows, second round", l.broken(flows), 0)
			assertAtMost(t, "packets at another service", l.misrouted, 0)
			s := l.stats()
			t.Logf("openings %d, overrides %d, redirects %d, unrecorded %d, drops %v", s.Openings, s.Overrides, s.Redirects, s.Unrecorded, s.Drops)
		})
	}
}
