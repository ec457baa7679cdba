package sparwrite

import (
	"context"
	"crypto/rand"
	"encoding/hex"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

const idBytes = 8

// attempt is a write whose outcome is not known yet.
type attempt struct {
	key   string
	id    string
	value []byte
	base  Held // the document that the write replaces
	sent  bool // a swap may have reached the platform
}

// commit repeats a write until its outcome is known or ctx ends. All swaps expect the same
// revision and carry the same ID, so at most one takes effect.
func (w Writer) commit(ctx context.Context, a *attempt) (wrote uint64, err error) {
	for {
		ok, err := w.Store.Swap(ctx, a.key, a.value, a.base.Revision)
		if err == nil && !ok && !a.sent {
			return 0, w.conflictOf(ctx, a)
		}
		a.sent = a.sent || !errors.Is(err, sparkv.ErrUnsent)
		if a.sent {
			wrote, known, err := w.readBack(ctx, a)
			if known {
				return wrote, err
			}
		}
		if !sparring.Pause(ctx, retryWait) {
			return 0, a.timeoutError()
		}
	}
}

// conflictOf returns an ErrConflict with the revision that another writer has written.
func (w Writer) conflictOf(ctx context.Context, a *attempt) error {
	e, _, err := w.Store.Get(ctx, a.key)
	if err != nil {
		return conflict(a.key, 0)
	}
	return conflict(a.key, e.Revision)
}

// readBack finds out the outcome of a write from the document that the platform holds. known
// is false if that could not be read or the write may still take effect.
func (w Writer) readBack(ctx context.Context, a *attempt) (wrote uint64, known bool, err error) {
	e, ok, err := w.Store.Get(ctx, a.key)
	if err != nil {
		return 0, false, nil
	}
	if !ok {
		return 0, a.base.Revision > 0, conflict(a.key, 0)
	}
	if e.Revision == a.base.Revision {
		return 0, false, nil // an earlier swap may still arrive; the next one decides
	}
	h, err := parse(e)
	if err != nil {
		return 0, true, conflict(a.key, e.Revision)
	}
	if h.Document.Wrote(a.id) {
		return e.Revision, true, nil
	}
	if a.idEvicted(h.Document) {
		return 0, true, errors.WithType(errors.Errorf("%s: too many writes since then, now at revision %d", a.key, e.Revision), ErrUnknown)
	}
	return 0, true, conflict(a.key, e.Revision)
}

// idEvicted reports whether so many writes followed that the document may have dropped
// the ID of a: no ID of the base document is left.
func (a *attempt) idEvicted(now sparconfig.Document) bool {
	if len(a.base.Document.Writes) == 0 {
		return len(now.Writes) >= sparconfig.MaxWrites
	}
	return !now.Wrote(a.base.Document.Writes[len(a.base.Document.Writes)-1])
}

// timeoutError returns the error of a write that ended before its outcome was known.
func (a *attempt) timeoutError() error {
	if a.sent {
		return errors.WithType(errors.Errorf("%s: write %s", a.key, a.id), ErrUnknown)
	}
	return errors.WithType(errors.Errorf("%s", a.key), ErrUnwritten)
}

func newID() string {
	var b [idBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
