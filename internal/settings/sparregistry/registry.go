// Package sparregistry holds the replica of the platform's keys on a VM.
//
// A Registry is a join semilattice: each key keeps the entry of the latest position in the
// platform's history. So reads of the platform and entries of peers can be merged in any
// order, twice or late, and no VM ever returns to an older entry:
//
//	var r sparregistry.Registry
//	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("new"), Revision: 7})
//	r = r.With(sparregistry.Entry{Key: "a", Value: []byte("old"), Revision: 5})
//	r.Get("a") // "new" at revision 7
//
// A position is an era and a revision, since revisions go back when the platform is restored
// from an older copy. Until the writers have written again what the restore has lost, a
// registry also keeps entries of earlier eras: see WithRestoredRead.
//
// Registries are immutable values; With, WithFullRead and the like return changed copies.
package sparregistry

import (
	"encoding/binary"
	"maps"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type (
	// Entry is one key of the platform at the position that last changed it.
	Entry struct {
		Key      string
		Value    []byte
		Era      uint64
		Revision uint64
		Deleted  bool
		Stamp    Stamp // of the value, or of the value that was deleted
	}

	// Registry is a set of entries. The zero Registry is empty.
	Registry struct {
		entries map[string]Entry
		digest  uint64
		at      Position // at which it is complete; revision 0 while it keeps entries of earlier eras
		synced  bool
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

// Position returns the position of the platform at which r is complete. Its revision is 0
// while r keeps entries of earlier eras.
func (r Registry) Position() Position { return r.at }

// Digest returns a hash of the live entries. Equal registries have equal digests.
func (r Registry) Digest() uint64 { return r.digest }

// Synced reports whether r holds a full read, made by this VM or merged from a peer.
func (r Registry) Synced() bool { return r.synced }

// With returns r merged with entries and complete at the latest position among them.
func (r Registry) With(entries ...Entry) Registry {
	next := r.merge(entries)
	for _, e := range entries {
		next.at = latest(next.at, e.Position())
	}
	return next
}

// merge keeps the entry of each key that replaces the other. It does not change the position
// of r. A deletion gets the stamp of what it deletes, and a value that names none that of the value
// that it replaces: after a restore, an older value of the writer is older than both.
func (r Registry) merge(entries []Entry) Registry {
	next := r
	copied := false
	for _, e := range entries {
		old, ok := next.entries[e.Key]
		if e.Deleted && e.Stamp == (Stamp{}) {
			e.Stamp = old.Stamp
		}
		if ok && !r.replaces(e, old) || r.settled() && e.Era < r.at.Era {
			continue
		}
		if !copied {
			next.entries = cloneEntries(r.entries)
			copied = true
		}
		if e.Stamp == (Stamp{}) {
			e.Stamp = old.Stamp
		}
		next.digest ^= digest(old) ^ digest(e)
		next.entries[e.Key] = e
	}
	return next
}

// replaces reports whether e takes the place of old in r.
func (r Registry) replaces(e, old Entry) bool {
	if r.settled() {
		return e.newer(old)
	}
	return e.supersedes(old)
}

// settled reports whether r is complete at a revision of its era. Positions alone then decide,
// and entries of earlier eras are history.
func (r Registry) settled() bool { return r.at.Revision > 0 }

// settle returns r settled at a position, unless it is complete at a later one. Deletions of
// earlier eras are dropped, so that they hide nothing.
func (r Registry) settle(at Position) Registry {
	next := r
	next.at = latest(r.at, at)
	dropped := func(_ string, e Entry) bool { return e.Deleted && e.Era < next.at.Era }
	for key, e := range r.entries {
		if dropped(key, e) {
			next.entries = maps.Clone(r.entries)
			maps.DeleteFunc(next.entries, dropped)
			break
		}
	}
	return next
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
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], e.Era)
	binary.LittleEndian.PutUint64(b[8:], e.Revision)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(e.Key)
	return d.Sum64()
}
