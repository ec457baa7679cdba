package sparregistry_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// at returns the position of a revision, on a platform that names no era.
func at(revision uint64) sparregistry.Position { return sparregistry.Position{Revision: revision} }

func ExampleRegistry_With() {
	var r sparregistry.Registry
	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("new"), Revision: 7})
	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("old"), Revision: 5})
	e, _ := r.Get("a")
	fmt.Printf("%s at revision %d\n", e.Value, e.Revision)
	// Output: new at revision 7
}

// TestOrderDoesNotMatter merges the same entries in two orders, in one of them each twice.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		entries := rapid.SliceOf(rapid.Custom(func(r *rapid.T) sparregistry.Entry {
			revision := rapid.Uint64Range(1, 30).Draw(r, "revision")
			return sparregistry.Entry{
				Key: fmt.Sprint(revision % 5), Value: []byte(fmt.Sprint(revision)), Revision: revision, Deleted: revision%7 == 0,
			}
		})).Draw(r, "entries")
		var a, b sparregistry.Registry
		for _, e := range entries {
			a = a.With(e)
		}
		for i := range entries {
			e := entries[len(entries)-1-i]
			b = b.With(e, e)
		}
		if a.Digest() != b.Digest() || a.Position() != b.Position() {
			r.Fatalf("digests %x and %x, positions %v and %v", a.Digest(), b.Digest(), a.Position(), b.Position())
		}
	})
}

func TestFullReadDeletesOnlyOlderKeys(t *testing.T) {
	var r sparregistry.Registry
	r = r.With(sparregistry.Entry{Key: "old", Revision: 3}, sparregistry.Entry{Key: "late", Revision: 9})
	r = r.WithFullRead(nil, at(5))
	if _, ok := r.Get("old"); ok {
		t.Error("a key that is missing from the read was not deleted")
	}
	if _, ok := r.Get("late"); !ok {
		t.Error("a read at revision 5 deleted a key of revision 9")
	}
}

// TestPagesAreNoSnapshot reads two pages between which entries change. A peer that pulls the
// changes must not miss any.
func TestPagesAreNoSnapshot(t *testing.T) {
	entry := func(key string, revision uint64) sparregistry.Entry {
		return sparregistry.Entry{Key: key, Revision: revision}
	}
	// The first page contains a at 5. Then a changes at 11 and z at 12; the second page
	// contains only z.
	reader := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{entry("a", 5), entry("z", 12)}, at(10))
	if reader.Position() != at(10) {
		t.Errorf("complete at %d, want 10", reader.Position().Revision)
	}
	follower, _ := sparregistry.Registry{}.WithDelta(reader.Delta(at(0)))
	reader = reader.WithFullRead([]sparregistry.Entry{entry("a", 11), entry("z", 12)}, at(12))
	follower, _ = follower.WithDelta(reader.Delta(follower.Position()))
	if follower.Digest() != reader.Digest() || follower.Position() != at(12) {
		t.Errorf("the follower misses a change, complete at %d", follower.Position().Revision)
	}
}

// TestIncompleteChangesAreRefused merges the changes of incremental reads. Those that lack
// some must be refused.
func TestIncompleteChangesAreRefused(t *testing.T) {
	start := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, at(5))
	entries := []sparregistry.Entry{{Key: "a", Revision: 7}, {Key: "b", Revision: 8, Deleted: true}}
	tests := []struct {
		name      string
		revisions []uint64
		reached   uint64
		want      bool
	}{
		{"all of them", []uint64{6, 7, 8}, 8, true},
		{"more than requested", []uint64{6, 7, 8}, 7, true},
		{"two with the same revision", []uint64{6, 7, 7, 8}, 8, true},
		{"first missing", []uint64{7, 8}, 8, false},
		{"last missing", []uint64{6, 7}, 8, false},
		{"all missing", nil, 8, false},
		{"no changes", nil, 5, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next, ok := start.WithChanges(entries, test.revisions, start.Position(), at(test.reached))
			if ok != test.want {
				t.Fatalf("complete: %v, want %v", ok, test.want)
			}
			if !ok && (next.Digest() != start.Digest() || next.Position() != start.Position()) {
				t.Error("incomplete changes were merged")
			}
			if ok && next.Position().Revision < test.reached {
				t.Errorf("complete at %d, want %d", next.Position().Revision, test.reached)
			}
		})
	}
	t.Run("another era", func(t *testing.T) {
		// The revisions continue without a gap, but they are those of a restored platform.
		reached := sparregistry.Position{Era: 1, Revision: 8}
		if _, ok := start.WithChanges(entries, []uint64{6, 7, 8}, start.Position(), reached); ok {
			t.Error("changes of a later era were merged")
		}
	})
	t.Run("platform went back", func(t *testing.T) {
		if _, ok := start.WithChanges(nil, nil, start.Position(), at(4)); ok {
			t.Error("a platform at 4 has no changes after 5")
		}
	})
	t.Run("older registry", func(t *testing.T) {
		if _, ok := start.WithChanges(entries, []uint64{8}, at(7), at(8)); ok {
			t.Error("changes after 7 were merged into a registry that is complete at 5")
		}
	})
}

// TestPeerLacksDeletions pulls from a VM that started after a key was deleted, and so has no
// record of the deletion. A follower that trusted the peer's revision alone would keep the key.
func TestPeerLacksDeletions(t *testing.T) {
	entry := func(key string, revision uint64) sparregistry.Entry {
		return sparregistry.Entry{Key: key, Revision: revision}
	}
	// b is deleted at 3, c written at 4; x is written at 5 and deleted at 6, d written at 7.
	read := func(revision uint64, entries ...sparregistry.Entry) sparregistry.Registry {
		return sparregistry.Registry{}.WithFullRead(entries, at(revision))
	}
	fresh := read(7, entry("a", 1), entry("c", 4), entry("d", 7))
	tests := []struct {
		name     string
		follower sparregistry.Registry
		complete bool
		entries  int
	}{
		{"follower lacks a deletion", read(2, entry("a", 1), entry("b", 2)), false, 2},
		{"follower has the deletions", read(6, entry("a", 1), entry("c", 4)), true, 1},
		{"older follower, nothing deleted", read(1, entry("a", 1)), true, 2},
		{"follower has a later revision from a second page", read(4, entry("a", 1), entry("c", 4), entry("x", 5)), true, 1},
		{"follower has a newer entry", read(4, entry("a", 1), entry("c", 4), entry("e", 8)), true, 1},
		{"empty follower", sparregistry.Registry{}, true, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			delta := fresh.Delta(test.follower.Position())
			next, complete := test.follower.WithDelta(delta)
			if complete != test.complete || len(delta.Entries) != test.entries {
				t.Fatalf("complete: %v with %d entries, want %v with %d", complete, len(delta.Entries), test.complete, test.entries)
			}
			if !complete {
				if next.Position() != test.follower.Position() {
					t.Errorf("complete at %d, want %d still", next.Position().Revision, test.follower.Position().Revision)
				}
				next, complete = next.WithDelta(fresh.Delta(at(0)))
			}
			for _, key := range []string{"b", "x"} {
				if _, ok := next.Get(key); ok {
					t.Errorf("deleted key %s is in force", key)
				}
			}
			if !complete || next.Position() != at(7) {
				t.Errorf("complete at %d in the end, want 7", next.Position().Revision)
			}
		})
	}
}
