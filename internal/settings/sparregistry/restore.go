package sparregistry

// Restoring reports whether r keeps entries of earlier eras because the platform has been
// restored recently.
func (r Registry) Restoring() bool { return r.synced && !r.settled() }

// Kept returns the number of entries of r that WithRestoredRead keeps although a full read at
// a position contradicts them: missing ones that the read lacks, and later ones than those
// of the read.
func (r Registry) Kept(entries []Entry, at Position) (missing, later int) {
	read := make(map[string]Entry, len(entries))
	for _, e := range entries {
		read[e.Key] = e
	}
	for key, e := range r.entries {
		found, ok := read[key]
		switch {
		case !ok && !e.Deleted:
			missing++
		case ok && e.Era < at.Era && !found.supersedes(e):
			later++
		}
	}
	return missing, later
}

// WithRestoredRead returns r merged with the entries of a full read of a platform that was
// restored from an older copy, at a position of its new era. The read shows what the copy
// held, so r keeps an entry of an earlier era if the writer has replaced the value in the read
// by the one that r holds, or if r holds the deletion of that value. If missing is set, it
// also keeps the entries that the read lacks. The result is complete at no revision of the
// new era yet.
func (r Registry) WithRestoredRead(entries []Entry, at Position, missing bool) Registry {
	if at.Era < r.at.Era {
		return r
	}
	next := r
	next.at = Position{Era: at.Era}
	next.synced = true
	if missing {
		return next.merge(entries)
	}
	return next.replace(entries, Position{}, at)
}

// WithConfirmed returns r settled at a position, if it keeps entries and a peer that keeps none
// is complete there with the same live entries, by their digest.
func (r Registry) WithConfirmed(at Position, digest uint64) Registry {
	if !r.Restoring() || at.Revision == 0 || at.Era != r.at.Era || digest != r.digest {
		return r
	}
	return r.settle(at)
}

// withUnsettled returns r merged with a delta of a peer that keeps entries of earlier eras. It
// deletes nothing: an entry that the peer lacks may be one that the restore has lost.
func (r Registry) withUnsettled(d Delta) Registry {
	next := r
	next.at = latest(r.at, d.At)
	next.synced = r.synced || d.Synced
	return next.merge(d.Entries)
}
