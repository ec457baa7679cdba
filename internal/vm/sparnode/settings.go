package sparnode

import (
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// MergeRead merges a full read of the platform.
func (n *Node) MergeRead(entries []sparregistry.Entry, revision uint64) {
	n.setRegistry(n.registry.WithFullRead(entries, sparregistry.Position{Revision: revision}))
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
	if !changed && n.inForce > 0 {
		n.inForce = max(n.inForce, next.Position().Revision)
		return
	}
	n.snapshot = n.snapshot.With(next)
	n.Engine.Apply(n.snapshot)
	n.inForce = next.Position().Revision
	n.addEvent(sparroute.Event{Kind: "in-force", Count: int(n.inForce)})
	for _, p := range n.snapshot.Problems {
		n.addEvent(sparroute.Event{Kind: "settings-refused", Service: p.Service, Subject: p.Cause, Count: int(p.Revision)})
	}
}

// newerPeer returns the live peer with the newest settings, if newer than those in force,
// or "".
func (n *Node) newerPeer() string {
	best, revision := "", n.inForce
	for _, h := range n.Tracker.Live(n.now) {
		if h.Synced && h.Revision > revision {
			best, revision = h.VM.Name, h.Revision
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
		if same || !h.Synced || h.Revision < n.inForce {
			continue
		}
		last, pulled := n.lastPulls[h.VM.Name]
		if pulled && n.now-last.at < pullEvery {
			continue
		}
		pull := Pull{From: h.VM, After: n.registry.Position().Revision}
		repeated := pulled && last.digest == h.Digest
		if repeated || !n.registry.Synced() {
			pull.After = 0
		}
		n.lastPulls[h.VM.Name] = lastPull{at: n.now, digest: h.Digest}
		outs = append(outs, pull)
		break
	}
	return outs
}
