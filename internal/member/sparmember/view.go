package sparmember

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

type (
	// Member is a VM that may own slots.
	Member struct {
		VM          sparconfig.VM
		Incarnation uint64
		Rank        uint64 // hash of the name, for rendezvous hashing
	}

	// View is the set of VMs that may own slots, in name order. It is immutable.
	View struct {
		Members []Member
		Leaving []Member // peers that are leaving and hand their slots over
		Digest  uint64
		Settled bool // all live peers report this view, or disagreementTimeout has passed
	}
)

// View returns the VMs that may own slots at now.
func (t *Tracker) View(now time.Duration) View {
	next := View{Settled: true}
	if vmChart.Has(t.state, owns) {
		next.Members = append(next.Members, member(t.self, t.incarnation))
	}
	for _, p := range t.peers {
		switch {
		case !t.live(p, now):
		case p.last.Owns && t.receives(p):
			next.Members = append(next.Members, member(p.last.VM, p.last.Incarnation))
		case p.last.Leaving:
			next.Leaving = append(next.Leaving, member(p.last.VM, p.last.Incarnation))
		}
	}
	slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	next.Digest = viewDigest(next.Members)
	for _, p := range t.peers {
		if t.live(p, now) && p.last.View != Fold(next.Digest) {
			next.Settled = false
		}
	}
	if next.Settled || next.Digest != t.view.Digest {
		t.unsettledSince = now
	}
	if now-t.unsettledSince > disagreementTimeout {
		next.Settled = true
	}
	t.view = next
	return next
}

// ViewIncomplete reports whether the view may be incomplete: a VM that is registered as live
// is unreachable, or was within disagreementTimeout before now.
func (t *Tracker) ViewIncomplete(now time.Duration) bool {
	for name, vm := range t.registered {
		if name != t.self.Name && vm.State == sparconfig.Live && !t.ReceivedBy(name, now) {
			t.unreachableAt = now
			break
		}
	}
	return t.unreachableAt > 0 && now-t.unreachableAt < disagreementTimeout
}

func member(vm sparconfig.VM, incarnation uint64) Member {
	return Member{VM: vm, Incarnation: incarnation, Rank: sparrank.Hash(vm.Name)}
}

func viewDigest(members []Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range members {
		_, _ = d.WriteString(m.VM.Name)
		_, _ = d.Write([]byte{0, byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24)})
	}
	return d.Sum64()
}

// Fold folds a digest to the 32 bits that a heartbeat carries.
func Fold(digest uint64) uint32 {
	return uint32(digest ^ digest>>32)
}

// Index returns the position of the member called name, or -1.
func (v View) Index(name string) int {
	for i, m := range v.Members {
		if m.VM.Name == name {
			return i
		}
	}
	return -1
}
