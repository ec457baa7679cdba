package sparregistry_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// ExampleRegistry_WithRestoredRead shows a platform that was restored from a copy in which an
// upstream is not draining yet.
func ExampleRegistry_WithRestoredRead() {
	said := func(count uint64) sparregistry.Stamp { return sparregistry.Stamp{Start: 1700, Count: count} }
	before := sparregistry.Entry{Key: "a", Value: []byte("draining"), Era: 1, Revision: 9, Stamp: said(2)}
	r := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{before}, before.Position())

	read := []sparregistry.Entry{{Key: "a", Value: []byte("ready"), Era: 2, Revision: 4, Stamp: said(1)}}
	r = r.WithRestoredRead(read, sparregistry.Position{Era: 2, Revision: 5}, true)
	e, _ := r.Get("a")
	fmt.Printf("%s, restoring: %v\n", e.Value, r.Restoring())

	read[0] = sparregistry.Entry{Key: "a", Value: []byte("draining"), Era: 2, Revision: 6, Stamp: said(2)}
	r = r.WithFullRead(read, read[0].Position())
	e, _ = r.Get("a")
	fmt.Printf("%s, restoring: %v\n", e.Value, r.Restoring())
	// Output:
	// draining, restoring: true
	// draining, restoring: false
}

func era(era, revision uint64) sparregistry.Position {
	return sparregistry.Position{Era: era, Revision: revision}
}

// TestOlderStateAfterRestore guards against a restored platform that shows again what its
// writer has replaced, or what had been removed.
func TestOlderStateAfterRestore(t *testing.T) {
	entry := func(value string, at sparregistry.Position, count uint64) sparregistry.Entry {
		return sparregistry.Entry{Key: "a", Value: []byte(value), Era: at.Era, Revision: at.Revision, Stamp: sparregistry.Stamp{Start: 5, Count: count}}
	}
	removed := sparregistry.Entry{Key: "a", Era: 1, Revision: 9, Deleted: true}
	tests := []struct {
		name    string
		held    []sparregistry.Entry
		read    []sparregistry.Entry
		missing bool
		want    string // value of the key, "" where it is deleted
		settled string // the same once the platform decides alone
		kept    int
	}{
		{"replaced value", []sparregistry.Entry{entry("new", era(1, 9), 3)}, []sparregistry.Entry{entry("old", era(2, 4), 2)}, true, "new", "old", 1},
		{"later value", []sparregistry.Entry{entry("old", era(1, 9), 3)}, []sparregistry.Entry{entry("new", era(2, 4), 4)}, true, "new", "new", 0},
		{"same value", []sparregistry.Entry{entry("same", era(1, 9), 3)}, []sparregistry.Entry{entry("same", era(2, 9), 3)}, true, "same", "same", 0},
		{"removed", []sparregistry.Entry{entry("old", era(1, 4), 3), removed}, []sparregistry.Entry{entry("old", era(2, 4), 3)}, true, "", "old", 1},
		{"removed, then restarted", []sparregistry.Entry{entry("old", era(1, 4), 3), removed}, []sparregistry.Entry{entry("new", era(2, 5), 4)}, true, "new", "new", 0},
		{"missing", []sparregistry.Entry{entry("lost", era(1, 9), 3)}, nil, true, "lost", "", 1},
		{"missing for long", []sparregistry.Entry{entry("lost", era(1, 9), 3)}, nil, false, "", "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := sparregistry.Registry{}.WithFullRead(nil, era(1, 1)).With(test.held...)
			at := era(2, 7)
			if missing, later := r.Kept(test.read, at); missing+later != test.kept {
				t.Errorf("%d missing and %d later, want %d", missing, later, test.kept)
			}
			restored := r.WithRestoredRead(test.read, at, test.missing)
			if got := value(restored, "a"); got != test.want {
				t.Errorf("value %q, want %q", got, test.want)
			}
			if !restored.Restoring() || restored.Position() != era(2, 0) {
				t.Errorf("complete at %v while entries are kept", restored.Position())
			}
			settled := restored.WithFullRead(test.read, at)
			if got := value(settled, "a"); got != test.settled || settled.Restoring() {
				t.Errorf("value %q in the end, want %q", got, test.settled)
			}
		})
	}
}

// TestUnreadableValueBeforeRestore guards against a restored platform that shows again what its writer has
// replaced, because a value that names no stamp was written in between.
func TestUnreadableValueBeforeRestore(t *testing.T) {
	entry := func(value string, at sparregistry.Position, stamp sparregistry.Stamp) sparregistry.Entry {
		return sparregistry.Entry{Key: "a", Value: []byte(value), Era: at.Era, Revision: at.Revision, Stamp: stamp}
	}
	said := func(count uint64) sparregistry.Stamp { return sparregistry.Stamp{Start: 5, Count: count} }
	r := sparregistry.Registry{}.WithFullRead(nil, era(1, 1)).With(
		entry("ready", era(1, 4), said(1)), entry("draining", era(1, 6), said(2)), entry("\xff", era(1, 8), sparregistry.Stamp{}))
	steps := []struct {
		name string
		read sparregistry.Entry
		want string
	}{
		{"the copy", entry("ready", era(2, 4), said(1)), "\xff"},
		{"the writer again", entry("draining", era(2, 7), said(2)), "draining"},
	}
	for _, step := range steps {
		r = r.WithRestoredRead([]sparregistry.Entry{step.read}, era(2, 8), true)
		if got := value(r, "a"); got != step.want {
			t.Fatalf("value %q after %s, want %q", got, step.name, step.want)
		}
	}
}

func value(r sparregistry.Registry, key string) string {
	e, _ := r.Get(key)
	if e.Deleted {
		return ""
	}
	return string(e.Value)
}

// TestEqualRevisionsOfTwoEras guards against VMs that take different settings for the same
// because a restored platform gives out revisions again.
func TestEqualRevisionsOfTwoEras(t *testing.T) {
	read := func(at sparregistry.Position, value string) sparregistry.Registry {
		return sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{
			{Key: "a", Value: []byte(value), Era: at.Era, Revision: at.Revision},
		}, at)
	}
	before, after := read(era(1, 7), "before"), read(era(2, 7), "after")
	if before.Digest() == after.Digest() {
		t.Error("equal digests of different values")
	}
	if next, complete := before.WithDelta(after.Delta(before.Position())); !complete || value(next, "a") != "after" {
		t.Errorf("value %q after a pull from a VM in the later era, complete: %v", value(next, "a"), complete)
	}
	if next, _ := after.WithDelta(before.Delta(after.Position())); value(next, "a") != "after" {
		t.Errorf("value %q after a pull from a VM in the earlier era", value(next, "a"))
	}
	if next := after.WithFullRead(nil, era(1, 9)); value(next, "a") != "after" || next.Position() != after.Position() {
		t.Error("a late read of the earlier era was merged")
	}
}

// TestUnsettledPeer guards against a VM that lets the kept entries of a peer back in, or loses
// its own by a pull from a peer that never held them.
func TestUnsettledPeer(t *testing.T) {
	lost := sparregistry.Entry{Key: "lost", Value: []byte("x"), Era: 1, Revision: 9}
	before := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{lost}, era(1, 9))
	keeping := before.WithRestoredRead(nil, era(2, 5), true)
	settled := sparregistry.Registry{}.WithFullRead(nil, era(2, 5))
	ignorant := sparregistry.Registry{}.WithFullRead(nil, era(1, 8)).WithRestoredRead(nil, era(2, 5), true)
	pulls := []struct {
		name     string
		own      sparregistry.Registry
		peer     sparregistry.Registry
		holds    bool
		complete sparregistry.Position
	}{
		{"settled from one that keeps", settled, keeping, false, era(2, 5)},
		{"one that keeps from a settled one", keeping, settled, false, era(2, 5)},
		{"one that keeps from one that never held it", keeping, ignorant, true, era(2, 0)},
		{"earlier era from one that never held it", before, ignorant, true, era(2, 0)},
		{"new VM from one that keeps", sparregistry.Registry{}, keeping, true, era(2, 0)},
		{"new VM from a settled one", sparregistry.Registry{}, settled, false, era(2, 5)},
	}
	for _, p := range pulls {
		t.Run(p.name, func(t *testing.T) {
			next := pull(t, p.own, p.peer)
			if _, holds := next.Get("lost"); holds != p.holds || next.Position() != p.complete {
				t.Errorf("holds the lost entry: %v, want %v; complete at %v, want %v", holds, p.holds, next.Position(), p.complete)
			}
		})
	}
}

// TestConfirmedBySettledPeer settles a registry that keeps entries once a settled peer has the
// same, and leaves one alone that differs or is of another era.
func TestConfirmedBySettledPeer(t *testing.T) {
	entry := sparregistry.Entry{Key: "a", Value: []byte("x"), Era: 2, Revision: 4}
	gone := sparregistry.Entry{Key: "b", Value: []byte("y"), Era: 1, Revision: 4}
	before := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{gone}, era(1, 4)).WithFullRead(nil, era(1, 9))
	keeping := before.WithRestoredRead([]sparregistry.Entry{entry, {Key: "b", Value: []byte("y"), Era: 2, Revision: 4}}, era(2, 5), true)
	peer := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{entry}, era(2, 7))
	if next := keeping.WithConfirmed(peer.Position(), peer.Digest()); next.Restoring() || next.Position() != era(2, 7) {
		t.Errorf("still restoring at %v", next.Position())
	}
	for name, next := range map[string]sparregistry.Registry{
		"another digest": keeping.WithConfirmed(peer.Position(), peer.Digest()+1),
		"earlier era":    keeping.WithConfirmed(era(1, 9), peer.Digest()),
		"kept there too": keeping.WithConfirmed(era(2, 0), peer.Digest()),
	} {
		if !next.Restoring() {
			t.Errorf("settled by a peer with %s", name)
		}
	}
}

// fataler is a test or a rapid run.
type fataler interface {
	Fatalf(format string, args ...any)
}

// pull returns own after a pull from peer: of the changes, and then of everything if they do
// not suffice.
func pull(t fataler, own, peer sparregistry.Registry) sparregistry.Registry {
	next, complete := own.WithDelta(peer.Delta(own.Position()))
	if complete {
		return next
	}
	if next, complete = next.WithDelta(peer.Delta(sparregistry.Position{})); !complete {
		t.Fatalf("a full copy is incomplete")
	}
	return next
}

// model is a platform with a few keys, for random runs.
type model struct {
	at    sparregistry.Position
	items map[string]sparregistry.Entry
	count uint64 // of all values written, also across restores
}

func (m *model) put(key string) {
	m.at.Revision++
	m.count++
	m.items[key] = sparregistry.Entry{
		Key: key, Value: fmt.Append(nil, m.count), Era: m.at.Era, Revision: m.at.Revision, Stamp: sparregistry.Stamp{Count: m.count},
	}
}

func (m *model) remove(key string) {
	if _, ok := m.items[key]; ok {
		m.at.Revision++
		delete(m.items, key)
	}
}

func (m *model) read() []sparregistry.Entry {
	var entries []sparregistry.Entry
	for _, e := range m.items {
		entries = append(entries, e)
	}
	return entries
}

func (m *model) copy() model {
	items := map[string]sparregistry.Entry{}
	for key, e := range m.items {
		items[key] = e
	}
	return model{at: m.at, items: items, count: m.count}
}

// restore puts the platform back to a copy. Its entries keep their revisions in the new era.
func (m *model) restore(older model) {
	next := older.copy()
	next.at.Era, next.count = m.at.Era+1, m.count
	for key, e := range next.items {
		e.Era = next.at.Era
		next.items[key] = e
	}
	*m = next
}

// TestVMsConvergeAfterRestores guards against settings that stay different after restores: it
// makes random changes, restores, reads and pulls. Once each VM has read the platform and none
// doubts it, all hold exactly what it holds, and pulls change nothing more.
func TestVMsConvergeAfterRestores(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := model{at: era(1, 1), items: map[string]sparregistry.Entry{}}
		copies := []model{m.copy()}
		vms := make([]sparregistry.Registry, 3)
		for range rapid.IntRange(5, 60).Draw(r, "steps") {
			n := rapid.IntRange(0, len(vms)-1).Draw(r, "vm")
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key")
			switch rapid.SampledFrom([]string{"put", "put", "remove", "copy", "restore", "read", "doubt", "pull", "pull"}).Draw(r, "step") {
			case "put":
				m.put(key)
			case "remove":
				m.remove(key)
			case "copy":
				copies = append(copies, m.copy())
			case "restore":
				m.restore(copies[rapid.IntRange(0, len(copies)-1).Draw(r, "copy")])
			case "read":
				vms[n] = vms[n].WithFullRead(m.read(), m.at)
			case "doubt":
				if vms[n].Restoring() || vms[n].Synced() && vms[n].Position().Era < m.at.Era {
					vms[n] = vms[n].WithRestoredRead(m.read(), m.at, rapid.Bool().Draw(r, "missing"))
				}
			case "pull":
				peer := vms[rapid.IntRange(0, len(vms)-1).Draw(r, "peer")]
				if peer.Synced() {
					vms[n] = pull(r, vms[n], peer)
				}
			}
		}
		for n := range vms {
			vms[n] = vms[n].WithFullRead(m.read(), m.at)
		}
		for n := range vms {
			for _, peer := range vms {
				vms[n] = pull(r, vms[n], peer)
			}
			if vms[n].Position() != m.at || len(vms[n].Under("")) != len(m.items) {
				r.Fatalf("VM %d at %v with %v, the platform is at %v with %v", n, vms[n].Position(), vms[n].Under(""), m.at, m.items)
			}
			for key, e := range m.items {
				if value(vms[n], key) != string(e.Value) {
					r.Fatalf("VM %d holds %q for %s, the platform %q", n, value(vms[n], key), key, e.Value)
				}
			}
		}
	})
}

// TestKeptEntriesInAnyOrder merges entries of two eras in two orders, as pulls between VMs do
// while entries of the earlier era are kept.
func TestKeptEntriesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := model{at: era(1, 1), items: map[string]sparregistry.Entry{}}
		var older model
		var seen []sparregistry.Entry
		for n := range 30 {
			if n == 10 {
				older = m.copy()
			}
			if n == 20 {
				m.restore(older)
				seen = append(seen, m.read()...)
			}
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key")
			before, ok := m.items[key]
			if ok && rapid.IntRange(0, 3).Draw(r, "removes") == 0 {
				m.remove(key)
				seen = append(seen, sparregistry.Entry{Key: key, Era: m.at.Era, Revision: m.at.Revision, Deleted: true, Stamp: before.Stamp})
				continue
			}
			m.put(key)
			seen = append(seen, m.items[key])
		}
		merge := func(entries []sparregistry.Entry) (next sparregistry.Registry) {
			for _, e := range entries {
				next, _ = next.WithDelta(sparregistry.Delta{Entries: []sparregistry.Entry{e}, At: era(2, 0), Synced: true})
			}
			return next
		}
		if a, b := merge(seen), merge(rapid.Permutation(seen).Draw(r, "order")); a.Digest() != b.Digest() {
			r.Fatalf("%v and %v", a.Under(""), b.Under(""))
		}
	})
}
