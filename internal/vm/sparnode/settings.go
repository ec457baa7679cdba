package sparnode

import (
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// Reading merges a whole reading of the platform.
func (n *Node) Reading(entries []sparregistry.Entry, revision uint64) {
	n.adopt(n.registry.Reading(entries, revision))
}

// Merge merges what a peer sent. Where that does not suffice the digests go on to differ,
// and everything is pulled next.
func (n *Node) Merge(s sparregistry.Share) {
	next, _ := n.registry.WithShare(s)
	n.adopt(next)
}

func (n *Node) adopt(next sparregistry.Registry) {
	changed := next.Digest() != n.registry.Digest()
	n.registry = next
	n.Tracker.List(sparconfig.VMs(next))
	if !next.Synced() {
		return
	}
	n.Tracker.Synced()
	if !changed && n.inForce > 0 {
		n.inForce = max(n.inForce, next.Revision())
		return
	}
	n.snapshot = n.snapshot.With(next)
	n.Engine.Apply(n.snapshot)
	n.inForce = next.Revision()
	n.note(sparroute.Event{Kind: "in-force", Count: int(n.inForce)})
	for _, p := range n.snapshot.Problems {
		n.note(sparroute.Event{Kind: "settings-refused", Service: p.Service, Subject: p.Cause, Count: int(p.Revision)})
	}
}

// newer returns a live peer with newer settings, or "".
func (n *Node) newer() string {
	best, revision := "", n.inForce
	for _, h := range n.Tracker.Live(n.now) {
		if h.Synced && h.Revision > revision {
			best, revision = h.VM.Name, h.Revision
		}
	}
	return best
}

// pulls asks peers whose settings differ and are not older for what this VM lacks.
// Where that did not help, it asks for everything.
func (n *Node) pulls() []Output {
	var outs []Output
	for _, h := range n.Tracker.Live(n.now) {
		same := h.Digest == sparmember.Fold(n.snapshot.Digest) && n.registry.Synced()
		if same || !h.Synced || h.Revision < n.inForce {
			continue
		}
		last, asked := n.pulled[h.VM.Name]
		if asked && n.now-last.at < pullEvery {
			continue
		}
		pull := Pull{From: h.VM, After: n.registry.Revision()}
		again := asked && last.digest == h.Digest
		if again || !n.registry.Synced() {
			pull.After = 0
		}
		n.pulled[h.VM.Name] = pulled{at: n.now, digest: h.Digest}
		outs = append(outs, pull)
		break
	}
	return outs
}
