package sparregistry

import "cmp"

// Position is a point in the history of the platform: a revision of an era. Revisions rise
// within an era. The era rises when the platform is restored from an older copy: its revisions
// then go back and are given out again, so revisions of different eras can't be compared.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare returns -1 if p is before other, 1 if it is after it, and 0 if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}
