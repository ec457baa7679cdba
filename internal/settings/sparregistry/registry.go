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
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
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

	// Delta is what a VM sends to a peer of its registry: the entries that have changed
	// after a position of the same era and the deletions on record since then, or a full copy.
	Delta struct {
		After   Position // zero for a full copy
		Entries []Entry
		Base    uint64   // digest of the live entries that have not changed after After
		At      Position // at which the registry is complete
		Synced  bool     // the registry holds a full read
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
// from those held, because r holds their key at a later position.
func (r Registry) PassedOver(entries []Entry) []PassedOver {
	var passed []PassedOver
	for _, e := range entries {
		held, ok := r.entries[e.Key]
		if ok && !e.newer(held) && (held.Deleted || !bytes.Equal(held.Value, e.Value)) {
			passed = append(passed, PassedOver{Read: e, Held: held})
		}
	}
	return passed
}

// Delta returns the delta for a peer whose registry is complete at after. It returns a full
// copy if after is at no revision or of another era.
func (r Registry) Delta(after Position) Delta {
	if after.Era != r.at.Era || after.Revision == 0 {
		after = Position{}
	}
	d := Delta{After: after, Entries: []Entry{}, Base: r.baseDigest(after), At: r.at, Synced: r.synced}
	for _, e := range r.entries {
		if e.Position().Compare(after) > 0 {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return d
}

// DeltaSize returns the number of bytes in the keys and values of the delta after a position.
func (r Registry) DeltaSize(after Position) (size int) {
	for key, e := range r.entries {
		if e.Position().Compare(after) > 0 {
			size += len(key) + len(e.Value)
		}
	}
	return size
}

// baseDigest returns the digest of the live entries that have not changed after a position.
func (r Registry) baseDigest(after Position) uint64 {
	sum := uint64(0)
	for _, e := range r.entries {
		if e.Position().Compare(after) <= 0 {
			sum ^= digest(e)
		}
	}
	return sum
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
// of r. A deletion gets the stamp of what it deletes.
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

// WithFullRead returns r merged with the entries of a full read of the platform at a position.
// Keys that are not among them are deleted, unless r holds them at that position or later, so
// that an old read deletes nothing newer. A read of several pages may contain entries of
// later revisions and lack others, so the result is complete at the position only. It holds
// nothing of earlier eras. A read of an earlier era changes nothing.
func (r Registry) WithFullRead(entries []Entry, at Position) Registry {
	if at.Era < r.at.Era {
		return r
	}
	next := r.settle(at).replace(entries, Position{}, at)
	next.synced = true
	return next
}

// WithPartial returns r merged with an incomplete set of entries. It remains complete at the
// position that it had.
func (r Registry) WithPartial(entries []Entry) Registry { return r.merge(entries) }

// replace returns r merged with entries, which include every live entry that changed
// between after and at. Other keys of r that changed in between are deleted.
func (r Registry) replace(entries []Entry, after, at Position) Registry {
	next := r.merge(entries)
	present := keySet(entries)
	var deleted []Entry
	for key, e := range next.entries {
		if !e.Deleted && !present[key] && e.Position().Compare(after) > 0 && e.Position().Compare(at) < 0 {
			deleted = append(deleted, e.deletion(at))
		}
	}
	return next.merge(deleted)
}

// WithChanges returns r merged with the entries of an incremental read after the position
// after, at which r must be complete. revisions are those of all changes at the platform, in
// order, including changes of keys that r does not hold. It returns r unchanged and false if
// a revision up to reached, which the platform has reached, is missing, or if the platform
// has gone back: the read is then incomplete.
func (r Registry) WithChanges(entries []Entry, revisions []uint64, after, reached Position) (next Registry, ok bool) {
	if reached.Era != after.Era || reached.Era != r.at.Era || reached.Revision < after.Revision {
		return r, false
	}
	last := after.Revision
	for _, revision := range revisions {
		if revision > last+1 {
			return r, false
		}
		last = max(last, revision)
	}
	if last < reached.Revision || r.at.Revision < after.Revision || !r.synced {
		return r, false
	}
	next = r.merge(entries)
	next.at = latest(r.at, Position{Era: after.Era, Revision: last})
	return next, true
}

// WithDelta returns r merged with the delta of a peer. A peer that has started recently never
// held some of the deleted keys and so can't include their deletions. Therefore the digests of
// the older entries of both are compared. If they differ, a deletion is missing: complete is
// false and the result remains complete only at the position of r. Entering another era also
// takes a full copy. What r holds is later than the delta of a peer in an earlier era.
func (r Registry) WithDelta(d Delta) (next Registry, complete bool) {
	full := d.After.IsZero()
	switch {
	case d.At.Era < r.at.Era:
		return r, true
	case d.At.Revision == 0:
		return r.withUnsettled(d), full && d.Synced
	case d.At.Era > r.at.Era || !r.settled():
		if !full || !d.Synced {
			return r, false
		}
		return r.WithFullRead(d.Entries, d.At), true
	}
	next = r.replace(d.Entries, d.After, d.At)
	if !d.Synced || next.baseDigest(d.After) != d.Base {
		return next, false
	}
	next.at = latest(r.at, d.At)
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
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], e.Era)
	binary.LittleEndian.PutUint64(b[8:], e.Revision)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(e.Key)
	return d.Sum64()
}
