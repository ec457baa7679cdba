package sparregistry

import (
	"slices"
	"strings"
)

// Delta is what a VM sends to a peer of its registry: the entries that have changed
// after a position of the same era and the deletions on record since then, or a full copy.
type Delta struct {
	After   Position // zero for a full copy
	Entries []Entry
	Base    uint64   // digest of the live entries that have not changed after After
	At      Position // at which the registry is complete
	Synced  bool     // the registry holds a full read
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
