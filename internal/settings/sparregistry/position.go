package sparregistry

import "cmp"

type (
	// Position is a point in the history of the platform: a revision of an era. Revisions rise
	// within an era. The era rises when the platform is restored from an older copy: its
	// revisions then go back and are given out again, so those of different eras can't be
	// compared. Era 0 is that of a platform that names none.
	Position struct {
		Era      uint64
		Revision uint64
	}

	// Stamp orders the values that the writers of a key have given it, by what they say
	// themselves: the start of the writer, and a count that rises with each of its values.
	// Unlike a position it is not affected by a restore. The zero Stamp is that of a value that
	// names none.
	Stamp struct {
		Start uint64
		Count uint64
	}
)

// Compare returns -1 if p is before other, 1 if it is after it, and 0 if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// IsZero reports whether p is the zero Position, which is before all others.
func (p Position) IsZero() bool { return p == Position{} }

func latest(a, b Position) Position {
	if a.Compare(b) < 0 {
		return b
	}
	return a
}

// Compare returns -1 if s is before other, 1 if it is after it, and 0 if they are equal.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Start, other.Start), cmp.Compare(s.Count, other.Count))
}

// Position returns the position that last changed the key.
func (e Entry) Position() Position { return Position{Era: e.Era, Revision: e.Revision} }

// deletion returns the deletion of e at a position.
func (e Entry) deletion(at Position) Entry {
	return Entry{Key: e.Key, Era: at.Era, Revision: at.Revision, Deleted: true, Stamp: e.Stamp}
}

// newer reports whether e is at a later position than old, an entry of the same key.
func (e Entry) newer(old Entry) bool { return e.Position().Compare(old.Position()) > 0 }

// supersedes reports whether e says more recent things than old, an entry of the same key,
// where they may be of different eras: the platform may show a value that its writer has
// replaced before the restore, or that had been deleted. Of one value, the deletion counts.
func (e Entry) supersedes(old Entry) bool {
	if e.Era == old.Era {
		return e.newer(old)
	}
	if c := e.Stamp.Compare(old.Stamp); c != 0 {
		return c > 0
	}
	if e.Deleted != old.Deleted {
		return e.Deleted
	}
	return e.newer(old)
}
