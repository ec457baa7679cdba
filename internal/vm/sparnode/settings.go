package sparnode

import (
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// MergeRead merges a full read of the platform, which must have begun after the read before it
// ended. A read at an earlier position shows that the platform was restored from an older copy.
// Nothing of it counts until the era of the platform is raised, so that all VMs can tell what
// came later.
func (n *Node) MergeRead(entries []sparregistry.Entry, revision uint64) {
	era, named := sparconfig.Era(entries)
	at, before := sparregistry.Position{Era: era, Revision: revision}, n.lastRead
	n.lastRead = at
	if at.Compare(before) < 0 {
		n.wantedEra = max(n.wantedEra, before.Era+1)
		n.addEvent(sparroute.Event{Kind: "platform-restored", Count: int(n.wantedEra)})
	}
	switch held := n.registry.Position().Era; {
	case era < n.wantedEra:
		n.raise = append(n.raise, RaiseEra{Era: n.wantedEra, Revision: named.Revision})
		return
	case era < held:
		n.lastRead = sparregistry.Position{Era: held} // a late response, unless the next read shows the same
		return
	}
	for i := range entries {
		entries[i].Era = era
	}
	n.setRegistry(n.registry.WithFullRead(entries, at))
}

// Merge merges the settings that a peer sent. If changes are still missing, the digests
// keep differing and the next pull requests everything.
func (n *Node) Merge(d sparregistry.Delta) {
	next, _ := n.registry.WithDelta(d)
	n.setRegistry(next)
}

func (n *Node) setRegistry(next sparregistry.Registry) {
	changed := next.Digest() != n.registry.Digest()
	n.registry = next
	n.Tracker.List(sparconfig.VMs(next))
	if !next.Synced() {
		return
	}
	n.Tracker.Synced()
	if !changed && !n.inForce.IsZero() {
		if next.Position().Compare(n.inForce) > 0 {
			n.inForce = next.Position()
		}
		return
	}
	before := n.snapshot
	n.snapshot = n.snapshot.With(next)
	n.Engine.Apply(n.snapshot)
	n.inForce = next.Position()
	n.addEvent(sparroute.Event{Kind: "in-force", Count: int(n.inForce.Revision)})
	n.addEvacuationEvents(before, n.snapshot)
	for _, p := range n.snapshot.Problems {
		n.addEvent(sparroute.Event{Kind: "settings-refused", Service: p.Service, Subject: p.Cause, Count: int(p.At.Revision)})
	}
}

// newerPeer returns the live peer with the newest settings, if newer than those in force,
// or "".
func (n *Node) newerPeer() string {
	best, at := "", n.inForce
	for _, h := range n.Tracker.Live(n.now) {
		if h.Synced && h.At.Compare(at) > 0 {
			best, at = h.VM.Name, h.At
		}
	}
	return best
}

// pulls requests missing settings from a peer whose settings differ and are not older. If
// the digest of that peer is the same as at the last pull from it, that pull was not enough
// and everything is requested.
func (n *Node) pulls() []Output {
	var outs []Output
	for _, h := range n.Tracker.Live(n.now) {
		same := h.Digest == sparmember.Fold(n.snapshot.Digest) && n.registry.Synced()
		if same || !h.Synced || h.At.Compare(n.inForce) < 0 {
			continue
		}
		last, pulled := n.lastPulls[h.VM.Name]
		if pulled && n.now-last.at < pullEvery {
			continue
		}
		pull := Pull{From: h.VM, After: n.registry.Position()}
		repeated := pulled && last.digest == h.Digest
		if repeated || !n.registry.Synced() {
			pull.After = sparregistry.Position{}
		}
		n.lastPulls[h.VM.Name] = lastPull{at: n.now, digest: h.Digest}
		outs = append(outs, pull)
		break
	}
	return outs
}
