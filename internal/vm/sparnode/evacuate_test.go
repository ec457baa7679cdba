package sparnode_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

func (l *lab) evacuate(domain string, ended bool) (revision uint64) {
	l.put(sparconfig.EvacuationKey(domain), sparconfig.EvacuationDocument{Ended: ended}.Text())
	return l.revision
}

// opened returns the number of flows opened at the upstreams of a domain since a time.
func (l *lab) opened(d sparconfig.Document, domain string, since time.Duration) (n int) {
	for _, m := range d.Upstreams {
		if m.Domain != domain {
			continue
		}
		for _, at := range l.upstreams[endpoint(m.At)].opened {
			if at > since {
				n++
			}
		}
	}
	return n
}

// TestEvacuation evacuates a failure domain while a VM is replaced, another failure domain of VMs is
// cut off from the platform, and the platform is then down and restored from an older copy. Once
// the status has said that the evacuation is in force everywhere, no flow may open there, and no
// open flow may break.
func TestEvacuation(t *testing.T) {
	l := newLab(t, 77)
	l.bootAll(bigVMs)
	l.run(4 * time.Second)
	d := document(1, bigUpstreams)
	for i := range d.Upstreams {
		d.Upstreams[i].Domain = [...]string{"north", "south", "west"}[i%3]
	}
	l.serve("booking", d)
	l.run(2 * time.Second)
	flows := l.open("booking", 6000, 0)
	for i, vm := range l.vms {
		if i%4 == 1 {
			name := vm.name
			before := l.blocked
			l.blocked = func(from, to string) bool {
				return before(from, to) || (from == name && to == "platform") || (to == name && from == "platform")
			}
		}
	}
	revision := l.evacuate("north", false)
	l.replace("vm-3", "vm-9", flows)
	l.run(2 * time.Second)
	report := sparstatus.FromSurvey(l.survey(l.vm("vm-1")))
	if !report.Evacuated("north", revision) {
		t.Fatalf("not in force everywhere:\n%s", report.Text())
	}
	began := l.now
	l.down = true
	l.open("booking", 2000, 100_000)
	assertAtMost(t, "flows opened in the evacuated domain", l.opened(d, "north", began), 0)
	assertAtMost(t, "broken flows", l.broken(flows), 0)
	if l.opened(d, "south", began) == 0 || l.opened(d, "west", began) == 0 {
		t.Error("no flows opened elsewhere: the test shows nothing")
	}
	l.down = false
	ended := l.evacuate("north", true)
	l.run(2 * time.Second)
	if report := sparstatus.FromSurvey(l.survey(l.vm("vm-1"))); !report.EvacuationEnded("north", ended) {
		t.Fatalf("not ended everywhere:\n%s", report.Text())
	}
	began = l.now
	l.open("booking", 2000, 200_000)
	if l.opened(d, "north", began) == 0 {
		t.Error("no flows opened after the end")
	}
	assertAtMost(t, "broken flows", l.broken(flows), 0)
}

// TestEvacuationAcrossRestore restores the platform to a copy that lacks the evacuation, or that has
// it although it had ended. The operator's next write decides.
func TestEvacuationAcrossRestore(t *testing.T) {
	for _, ended := range []bool{false, true} {
		l := newLab(t, 5)
		l.bootAll(8)
		d := document(1, 4)
		d.Upstreams[0].Domain = "north"
		l.serve("booking", d)
		l.evacuate("north", ended) // of the copy
		l.run(6 * time.Second)
		older := l.copy()
		l.evacuate("north", !ended)
		l.run(3 * time.Second)
		l.restore(older)
		l.run(time.Second)
		l.evacuate("north", !ended)
		l.run(3 * time.Second)
		for _, vm := range l.vms {
			if got := vm.node.Snapshot().Evacuates("north"); got != ended {
				t.Errorf("%s: evacuated %t, want %t", vm.name, got, ended)
			}
		}
	}
}
