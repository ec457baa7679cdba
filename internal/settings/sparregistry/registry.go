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

	// Share is what a VM hands to a peer of its registry: every live entry that has
	// changed after a revision, and the deletions that it knows of since.
	Share struct {
		After    uint64 // 0 for everything
		Entries  []Entry
		Base     uint64 // digest of the live entries that have not changed after After
		Revision uint64 // at which the registry is complete
		Synced   bool   // it holds a whole reading
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

// Missing returns the number of live entries under prefix that are not among entries.
func (r Registry) Missing(prefix string, entries []Entry) (n int) {
	present := keys(entries)
	for key, e := range r.entries {
		if !e.Deleted && !present[key] && strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// Share returns what a peer lacks that is complete at a revision, 0 where it knows nothing
// and gets everything.
func (r Registry) Share(after uint64) Share {
	s := Share{After: after, Entries: []Entry{}, Base: r.base(after), Revision: r.revision, Synced: r.synced}
	for _, e := range r.entries {
		if e.Revision > after {
			s.Entries = append(s.Entries, e)
		}
	}
	slices.SortFunc(s.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return s
}

// base returns the digest of the live entries that have not changed after a revision.
func (r Registry) base(after uint64) uint64 {
	sum := uint64(0)
	for _, e := range r.entries {
		if e.Revision <= after {
			sum ^= digest(e)
		}
	}
	return sum
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
	next := r.replace(entries, 0, revision)
	next.revision = max(r.revision, revision)
	next.synced = true
	return next
}

// WithSome returns r merged with entries beside which others may be missing. It counts as
// complete at the revision that it had.
func (r Registry) WithSome(entries []Entry) Registry { return r.merge(entries) }

// replace returns r merged with all entries that have changed after one revision as of
// another. Keys with such a change that are not among them are deleted.
func (r Registry) replace(entries []Entry, after, revision uint64) Registry {
	next := r.merge(entries)
	present := keys(entries)
	var gone []Entry
	for key, e := range next.entries {
		if !e.Deleted && !present[key] && e.Revision > after && e.Revision < revision {
			gone = append(gone, Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	return next.merge(gone)
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

// WithShare returns r merged with what a peer has shared. A peer that has started lately
// never held some of the keys that were deleted, and cannot tell. So it is compared what
// both hold of older changes: where that differs a deletion is missing, and the result
// counts as complete at r's own revision still, which is reported.
func (r Registry) WithShare(s Share) (next Registry, complete bool) {
	next = r.replace(s.Entries, s.After, s.Revision)
	if !s.Synced || next.base(s.After) != s.Base {
		return next, false
	}
	next.revision = max(r.revision, s.Revision)
	next.synced = true
	return next, true
}

func keys(entries []Entry) map[string]bool {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.Key] = true
	}
	return present
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
