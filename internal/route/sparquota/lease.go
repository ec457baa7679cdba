package sparquota

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// clockMargin covers clocks of VMs that differ in rate over the wait.
const clockMargin = 250 * time.Millisecond

type (
	// Member is a VM as the settings list it.
	Member struct {
		Name   string
		Domain string
	}

	// Entry is where this VM stands in the settings. Any change of it starts the wait anew.
	Entry struct {
		Listed bool
		At     sparregistry.Position // that wrote the entry last
		Era    uint64                // of the platform
	}

	// Lease tells whether this VM may use its part of the limits, and how it ranks. Create it
	// with NewLease.
	Lease struct {
		name       string
		maxAge     time.Duration
		wait       time.Duration
		freshUntil time.Duration // end of the freshness of the settings
		heldSince  time.Duration // from when on the settings were fresh and the entry the same
		entry      Entry
		domain     string                  // of this VM, as listed
		members    map[Member]rankedMember // listed now, or within the wait
	}

	// rankedMember is a VM that is listed, or was within the wait.
	rankedMember struct {
		hash      uint64
		listed    bool // now
		removedAt time.Duration
	}
)

// NewLease returns the lease of the VM called name. maxAge is the age up to which settings are
// fresh, the same on all VMs.
func NewLease(name string, maxAge time.Duration) *Lease {
	return &Lease{name: name, maxAge: maxAge, wait: Wait(maxAge), members: map[Member]rankedMember{}}
}

// Wait returns how long a VM must have been listed, with fresh settings, before it acts, see
// docs/design/warmup.md.
func Wait(maxAge time.Duration) time.Duration { return 2*maxAge + span + clockMargin }

// Renew sets the age that the settings had at the time now.
func (l *Lease) Renew(now, age time.Duration) {
	if now >= l.freshUntil {
		l.heldSince = now
	}
	l.freshUntil = now - age + l.maxAge
}

// List replaces the VMs in the settings and the entry of this VM.
func (l *Lease) List(now time.Duration, members []Member, entry Entry) {
	if entry != l.entry {
		l.entry, l.heldSince = entry, now
	}
	for m, r := range l.members {
		if r.listed {
			r.listed, r.removedAt = false, now
			l.members[m] = r
		}
	}
	for _, m := range members {
		l.members[m] = rankedMember{hash: sparrank.Hash(m.Name), listed: true}
		if m.Name == l.name {
			l.domain = m.Domain
		}
	}
	l.Expire(now)
}

// Expire forgets the VMs that were removed longer ago than the wait. It reports whether there
// were any.
func (l *Lease) Expire(now time.Duration) (changed bool) {
	for m, r := range l.members {
		if !r.listed && now-r.removedAt > l.wait {
			delete(l.members, m)
			changed = true
		}
	}
	return changed
}

// CompleteAt returns the time at which the settings were complete.
func (l *Lease) CompleteAt() time.Duration { return l.freshUntil - l.maxAge }

// Active reports whether this VM may use its part of the limits.
func (l *Lease) Active(now time.Duration) bool {
	return l.entry.Listed && now < l.freshUntil && now-l.heldSince > l.wait
}

// Rank returns the number of VMs that rank before this one for an upstream: those of its failure domain
// come first, each part in rendezvous order.
func (l *Lease) Rank(id uint64, domain string) (rank int) {
	own := sparrank.Weight(int(id), sparrank.Hash(l.name))
	near := l.domain == domain
	for m, r := range l.members {
		if m.Name == l.name || near && m.Domain != domain {
			continue // VMs of other domains rank behind a near one
		}
		if !near && m.Domain == domain || sparrank.Weight(int(id), r.hash) >= own {
			rank++
		}
	}
	return rank
}
