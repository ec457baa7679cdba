package sparquota_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparquota"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// soloLease is the lease of a VM that hears of its settings at once.
type soloLease struct {
	t     *testing.T
	lease *sparquota.Lease
	now   time.Duration
	entry sparquota.Entry
}

func newSoloLease(t *testing.T) *soloLease {
	l := &soloLease{t: t, lease: sparquota.NewLease("vm-1", modelAge), now: time.Second}
	l.list(sparquota.Entry{Listed: true, At: sparregistry.Position{Era: 1, Revision: 4}, Era: 1})
	l.run(sparquota.Wait(modelAge) + 2*modelStep)
	l.wantActive(true)
	return l
}

func (l *soloLease) list(entry sparquota.Entry) {
	l.entry = entry
	var members []sparquota.Member
	if entry.Listed {
		members = []sparquota.Member{{Name: "vm-1", Domain: "north"}}
	}
	l.lease.List(l.now, members, entry)
}

// run lets time pass, with fresh settings.
func (l *soloLease) run(d time.Duration) {
	for end := l.now + d; l.now < end; {
		l.now += modelStep
		l.lease.Renew(l.now, 0)
	}
}

func (l *soloLease) wantActive(want bool) {
	l.t.Helper()
	if got := l.lease.Active(l.now); got != want {
		l.t.Errorf("at %v: active %v, want %v", l.now, got, want)
	}
}

// wantWait checks that the VM waits the whole time from now on.
func (l *soloLease) wantWait() {
	l.t.Helper()
	l.wantActive(false)
	l.run(sparquota.Wait(modelAge) - modelStep)
	l.wantActive(false)
	l.run(3 * modelStep)
	l.wantActive(true)
}

// TestWaitStartsAnew covers all that others may have missed or that this VM may have missed.
func TestWaitStartsAnew(t *testing.T) {
	for name, change := range map[string]func(l *soloLease){
		"settings too old for a moment": func(l *soloLease) {
			l.now += modelAge
			l.lease.Renew(l.now, 0)
		},
		"a pause": func(l *soloLease) {
			l.now += 10 * time.Second
			l.lease.Renew(l.now, 10*time.Second)
			l.run(modelStep)
		},
		"its entry written again": func(l *soloLease) {
			l.list(sparquota.Entry{Listed: true, At: sparregistry.Position{Era: 1, Revision: 9}, Era: 1})
		},
		"its entry gone and back": func(l *soloLease) {
			entry := l.entry
			l.list(sparquota.Entry{Era: 1})
			l.wantActive(false)
			l.list(entry)
		},
		"the platform restored": func(l *soloLease) {
			entry := l.entry
			entry.Era = 2
			l.list(entry)
		},
		"a restart": func(l *soloLease) {
			l.lease = sparquota.NewLease("vm-1", modelAge)
			l.list(l.entry)
			l.lease.Renew(l.now, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newSoloLease(t)
			change(l)
			l.wantWait()
		})
	}
}

// TestOldSettingsGiveNothing checks the moment at which settings become too old, without any call
// in between: a VM that is cut off, or was paused, and has packets to send.
func TestOldSettingsGiveNothing(t *testing.T) {
	l := newSoloLease(t)
	l.lease.Renew(l.now, modelAge/2)
	renewed := l.now
	for after, want := range map[time.Duration]bool{0: true, modelAge/2 - 1: true, modelAge / 2: false, time.Hour: false} {
		l.now = renewed + after
		l.wantActive(want)
	}
}

// TestUnlistedVM checks that a VM without an entry never acts: others don't count it.
func TestUnlistedVM(t *testing.T) {
	l := newSoloLease(t)
	l.list(sparquota.Entry{})
	l.run(3 * sparquota.Wait(modelAge))
	l.wantActive(false)
}

// TestRankOfOwnDomainFirst checks that all VMs agree on an order, those of the upstream's
// failure domain first.
func TestRankOfOwnDomainFirst(t *testing.T) {
	members := []sparquota.Member{{"a", "north"}, {"b", "south"}, {"c", "north"}, {"d", "south"}, {"e", "south"}}
	for id := range uint64(50) {
		taken := map[int]bool{}
		for _, m := range members {
			l := sparquota.NewLease(m.Name, modelAge)
			l.List(0, members, sparquota.Entry{Listed: true})
			rank := l.Rank(id, "south")
			if taken[rank] || (rank < 3) != (m.Domain == "south") {
				t.Errorf("upstream %d: rank %d of %v, taken: %v", id, rank, m, taken[rank])
			}
			taken[rank] = true
		}
	}
}

// TestRemovedVMCounts removes a VM, which may not know of it yet.
func TestRemovedVMCounts(t *testing.T) {
	l := sparquota.NewLease("a", modelAge)
	both := []sparquota.Member{{"a", "north"}, {"b", "south"}}
	l.List(0, both, sparquota.Entry{Listed: true})
	l.List(time.Second, both[:1], sparquota.Entry{Listed: true})
	l.Expire(time.Second + sparquota.Wait(modelAge))
	if l.Rank(1, "south") != 1 {
		t.Error("a VM that was removed must count during the wait")
	}
	if !l.Expire(time.Second+sparquota.Wait(modelAge)+1) || l.Rank(1, "south") != 0 {
		t.Error("it must count no longer")
	}
}
