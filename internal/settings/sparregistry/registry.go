// Package sparregistry holds what a VM knows of the platform's keys.
//
// A Registry is a join semilattice: each key keeps the entry of the highest
// platform revision, so readings and peers' entries can be merged in any order,
// twice or late, and no VM ever goes back:
//
//	var r sparregistry.Registry
//	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("new"), Revision: 7})
//	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("old"), Revision: 5})
//	r.Get("a") // "new" at revision 7
//
// Registries are immutable values; With and Reading return changed copies.
package sparregistry

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// Entry is one key of the platform at the revision that last changed it.
	Entry struct {
		Key      string
		Value    []byte
		Revision uint64
		Deleted  bool
	}

	// Registry is a set of entries. The zero Registry is empty.
	Registry struct {
		entries  map[string]Entry
		digest   uint64
		revision uint64
		synced   bool
	}

	// Share is what a VM hands to a peer of its registry.
	Share struct {
		Entries  []Entry
		Revision uint64 // at which the registry is complete
		Digest   uint64 // of the registry
		Synced   bool   // it holds a whole reading
		Whole    bool   // Entries is everything: keys that are absent are deleted
	}
)

// Get returns the live entry of key.
func (r Registry) Get(key string) (e Entry, ok bool) {
	e, ok = r.entries[key]
	return e, ok && !e.Deleted
}

// Under returns the live entries whose keys begin with prefix, in key order.
func (r Registry) Under(prefix string) []Entry {
	var found []Entry
	for key, e := range r.entries {
		if !e.Deleted && strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// Share returns what a peer lacks that is complete at a revision, 0 where it knows nothing
// and gets everything.
func (r Registry) Share(after uint64) Share {
	s := Share{
		Entries: []Entry{}, Revision: r.revision, Digest: r.digest, Synced: r.synced,
		Whole: r.synced && after == 0,
	}
	for _, e := range r.entries {
		if s.Whole && !e.Deleted || !s.Whole && e.Revision > after {
			s.Entries = append(s.Entries, e)
		}
	}
	slices.SortFunc(s.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// Revision returns the platform revision at which r is complete.
func (r Registry) Revision() uint64 { return r.revision }

// Digest returns a hash of the live entries. Equal registries have equal digests.
func (r Registry) Digest() uint64 { return r.digest }

// Synced reports whether r holds a whole reading, of the platform or of a peer.
func (r Registry) Synced() bool { return r.synced }

// With returns r merged with entries, as far as the last of them.
func (r Registry) With(entries ...Entry) Registry {
	next := r.merge(entries)
	for _, e := range entries {
		next.revision = max(next.revision, e.Revision)
	}
	return next
}

// merge keeps the newer entry of each key. It leaves the revision alone.
func (r Registry) merge(entries []Entry) Registry {
	next := r
	copied := false
	for _, e := range entries {
		held, ok := next.entries[e.Key]
		if ok && held.Revision >= e.Revision {
			continue
		}
		if !copied {
			next.entries = cloneEntries(r.entries)
			copied = true
		}
		next.digest ^= digest(held) ^ digest(e)
		next.entries[e.Key] = e
	}
	return next
}

// Reading returns r merged with a whole reading of the platform made at revision.
// Keys that the reading lacks are deleted, unless r knows them from a later
// revision: an old reading loses. A reading of several pages may hold entries of later
// revisions and lack others, so it counts as complete at revision alone.
func (r Registry) Reading(entries []Entry, revision uint64) Registry {
	next := r.merge(entries)
	present := map[string]bool{}
	for _, e := range entries {
		present[e.Key] = true
	}
	var gone []Entry
	for key, e := range next.entries {
		if !e.Deleted && !present[key] && e.Revision < revision {
			gone = append(gone, Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	next = next.merge(gone)
	next.revision = max(r.revision, revision)
	next.synced = true
	return next
}

// WithChanges returns r merged with the changes after a revision at which r is complete.
// revisions are those of all changes in the platform, in order, also of keys that r does
// not hold. It reports false where one is missing on the way to a revision that the
// platform has reached: the changes then prove nothing, and r is returned as it was.
func (r Registry) WithChanges(entries []Entry, revisions []uint64, after, reached uint64) (next Registry, ok bool) {
	at := after
	for _, revision := range revisions {
		if revision > at+1 {
			return r, false
		}
		at = max(at, revision)
	}
	if at < reached || r.revision < after || !r.synced {
		return r, false
	}
	next = r.merge(entries)
	next.revision = max(r.revision, at)
	return next, true
}

// WithShare returns r merged with what a peer has shared. Changes need not hold every
// deletion: a peer that has started lately never knew some of the keys. Only equal digests
// show that none is missing; where they differ, r takes the entries but counts as complete
// at its own revision still.
func (r Registry) WithShare(s Share) Registry {
	if s.Whole {
		return r.Reading(s.Entries, s.Revision)
	}
	next := r.merge(s.Entries)
	if next.digest == s.Digest {
		next.revision = max(r.revision, s.Revision)
	}
	next.synced = r.synced || s.Synced
	return next
}

func cloneEntries(entries map[string]Entry) map[string]Entry {
	if entries == nil {
		return map[string]Entry{}
	}
	return maps.Clone(entries)
}

func digest(e Entry) uint64 {
	if e.Deleted || e.Key == "" {
		return 0
	}
	var d xxhash.Digest
	d.ResetWithSeed(e.Revision)
	_, _ = d.WriteString(e.Key)
	return d.Sum64()
}
