package sparregistry

import "bytes"

// PassedOver is an entry of a read that loses to the one held.
type PassedOver struct {
	Read, Held Entry
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
