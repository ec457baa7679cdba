// Package sparregistry holds the replica of the platform's keys on a VM.
//
// A Registry is a join semilattice: each key keeps the entry with the highest
// platform revision. So reads of the platform and entries of peers can be merged in
// any order, twice or late, and no VM ever returns to an older entry:
//
//	var r sparregistry.Registry
//	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("new"), Revision: 7})
//	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("old"), Revision: 5})
//	r.Get("a") // "new" at revision 7
//
// Registries are immutable values; With, WithFullRead and the like return changed copies.
package sparregistry

import (
	"bytes"
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

	// Delta is what a VM sends to a peer of its registry: the entries that have changed
	// after a revision and the deletions on record since then, or a full copy.
	Delta struct {
		After    uint64 // 0 for a full copy
		Entries  []Entry
		Base     uint64 // digest of the live entries that have not changed after After
		Revision uint64 // at which the registry is complete
		Synced   bool   // the registry holds a full read
	}

	// PassedOver is an entry of a read that loses to the one held.
	PassedOver struct {
		Read, Held Entry
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
	present := keySet(entries)
	for key, e := range r.entries {
		if !e.Deleted && !present[key] && strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

// PassedOver returns the entries of a read that would be left out although their values differ
// from those held, because r holds a later revision of their key.
func (r Registry) PassedOver(entries []Entry) []PassedOver {
	var passed []PassedOver
	for _, e := range entries {
		held, ok := r.entries[e.Key]
		if ok && held.Revision >= e.Revision && (held.Deleted || !bytes.Equal(held.Value, e.Value)) {
			passed = append(passed, PassedOver{Read: e, Held: held})
		}
	}
	return passed
}

// Delta returns the delta for a peer whose registry is complete at after, or a full copy if
// after is 0.
func (r Registry) Delta(after uint64) Delta {
	d := Delta{After: after, Entries: []Entry{}, Base: r.baseDigest(after), Revision: r.revision, Synced: r.synced}
	for _, e := range r.entries {
		if e.Revision > after {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return d
}

// baseDigest returns the digest of the live entries that have not changed after a revision.
func (r Registry) baseDigest(after uint64) uint64 {
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

// Synced reports whether r holds a full read, made by this VM or merged from a peer.
func (r Registry) Synced() bool { return r.synced }

// With returns r merged with entries and complete at the highest revision among them.
func (r Registry) With(entries ...Entry) Registry {
	next := r.merge(entries)
	for _, e := range entries {
		next.revision = max(next.revision, e.Revision)
	}
	return next
}

// merge keeps the newer entry of each key. It does not change the revision of r.
func (r Registry) merge(entries []Entry) Registry {
	next := r
	copied := false
	for _, e := range entries {
		old, ok := next.entries[e.Key]
		if ok && old.Revision >= e.Revision {
			continue
		}
		if !copied {
			next.entries = cloneEntries(r.entries)
			copied = true
		}
		next.digest ^= digest(old) ^ digest(e)
		next.entries[e.Key] = e
	}
	return next
}

// WithFullRead returns r merged with the entries of a full read of the platform at revision.
// Keys that are not among them are deleted, unless r holds them at revision or later, so
// that an old read deletes nothing newer. A read of several pages may contain entries of
// later revisions and lack others, so the result is complete at revision only.
func (r Registry) WithFullRead(entries []Entry, revision uint64) Registry {
	next := r.replace(entries, 0, revision)
	next.revision = max(r.revision, revision)
	next.synced = true
	return next
}

// WithPartial returns r merged with an incomplete set of entries. It remains complete at the
// revision that it had.
func (r Registry) WithPartial(entries []Entry) Registry { return r.merge(entries) }

// replace returns r merged with entries, which include every live entry that changed
// between after and revision. Other keys of r that changed in between are deleted.
func (r Registry) replace(entries []Entry, after, revision uint64) Registry {
	next := r.merge(entries)
	present := keySet(entries)
	var deleted []Entry
	for key, e := range next.entries {
		if !e.Deleted && !present[key] && e.Revision > after && e.Revision < revision {
			deleted = append(deleted, Entry{Key: key, Revision: revision, Deleted: true})
		}
	}
	return next.merge(deleted)
}

// WithChanges returns r merged with the entries of an incremental read after the revision
// after, at which r must be complete. revisions are those of all changes at the platform, in
// order, including changes of keys that r does not hold. It returns r unchanged and false if
// a revision up to reached, which the platform has reached, is missing: the read is then
// incomplete.
func (r Registry) WithChanges(entries []Entry, revisions []uint64, after, reached uint64) (next Registry, ok bool) {
	last := after
	for _, revision := range revisions {
		if revision > last+1 {
			return r, false
		}
		last = max(last, revision)
	}
	if last < reached || r.revision < after || !r.synced {
		return r, false
	}
	next = r.merge(entries)
	next.revision = max(r.revision, last)
	return next, true
}

// WithDelta returns r merged with the delta of a peer. A peer that has started recently never
// held some of the deleted keys and so can't include their deletions. Therefore the digests of
// the older entries of both are compared. If they differ, a deletion is missing: complete is
// false and the result remains complete only at the revision of r.
func (r Registry) WithDelta(d Delta) (next Registry, complete bool) {
	next = r.replace(d.Entries, d.After, d.Revision)
	if !d.Synced || next.baseDigest(d.After) != d.Base {
		return next, false
	}
	next.revision = max(r.revision, d.Revision)
	next.synced = true
	return next, true
}

func keySet(entries []Entry) map[string]bool {
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
