package sparnode_test

import (
	"maps"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// labCopy is the content of the platform at one moment.
type labCopy struct {
	entries  map[string]sparregistry.Entry
	revision uint64
}

func (l *lab) copy() labCopy { return labCopy{entries: maps.Clone(l.entries), revision: l.revision} }

// restore puts the platform back to an older copy and ends all watches. Revisions are given out
// again.
func (l *lab) restore(c labCopy) {
	l.entries, l.revision = maps.Clone(c.entries), c.revision
	for _, vm := range l.vms {
		vm.readRevision = 0
	}
}

// assertUpstreams checks that all VMs have a number of upstreams of a service in force.
func (l *lab) assertUpstreams(service string, want int) {
	l.t.Helper()
	for _, vm := range l.vms {
		s := vm.node.Snapshot().Service("team/" + service)
		if s == nil || len(s.Upstreams) != want {
			l.t.Errorf("%s acts on %+v, want %d upstreams", vm.name, s, want)
		}
	}
}

// TestChangesHiddenByRestore guards against changes that never come into force because a
// restored platform gives out their revisions a second time.
func TestChangesHiddenByRestore(t *testing.T) {
	l := newLab(t, 1)
	l.bootAll(8)
	l.serve("booking", document(1, 4))
	l.run(6 * time.Second)
	older := l.copy()
	l.serve("booking", document(1, 5))
	l.serve("receipts", document(2, 3))
	l.run(3 * time.Second)
	l.assertUpstreams("booking", 5)

	l.restore(older)
	l.serve("booking", document(1, 6))
	l.run(3 * time.Second)
	l.assertUpstreams("booking", 6)

	l.serve("receipts", document(2, 2))
	l.run(3 * time.Second)
	l.assertUpstreams("receipts", 2)
}

// TestRestoreBesideFailures restores the platform while a failure domain is cut off, a VM is
// frozen and another one starts, twice in a row and from before the first restore. All VMs must
// act on the last document once they are connected again.
func TestRestoreBesideFailures(t *testing.T) {
	for seed := range uint64(4) {
		l := newLab(t, 10+seed)
		l.loss = 5
		l.bootAll(8)
		l.serve("booking", document(1, 4))
		l.run(6 * time.Second)
		oldest := l.copy()
		l.serve("booking", document(1, 5))
		l.run(2 * time.Second)

		l.partition("domain-1")
		l.vm("vm-3").frozen = true
		l.restore(oldest)
		l.serve("booking", document(1, 6))
		l.run(2 * time.Second)
		l.boot("vm-9", "domain-2")
		l.down = true
		l.run(time.Second)
		l.restore(oldest)
		l.down = false
		l.serve("booking", document(1, 7))
		l.run(2 * time.Second)
		l.heal()
		l.vm("vm-3").frozen = false
		l.run(8 * time.Second)
		l.assertUpstreams("booking", 7)

		l.serve("booking", document(1, 3))
		l.run(3 * time.Second)
		l.assertUpstreams("booking", 3)
	}
}
