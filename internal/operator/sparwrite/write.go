// Package sparwrite changes the service documents of one team in the platform.
//
// A write validates the document, claims its addresses, and then does a compare-and-swap on
// the revision that was read. It adds an ID to the document, so that a writer that loses
// the response can read the document back and find out whether its write took effect, even
// if other writes followed:
//
//	w := sparwrite.Writer{Store: store, Team: "kalkkirinne"}
//	revision, err := w.Set(ctx, "booking", document, 0)
//	switch {
//	case errors.Is(err, sparwrite.ErrConflict):
//		// another writer came first; nothing was written
//	case errors.Is(err, sparwrite.ErrUnknown):
//		// the outcome could not be read back in time
//	}
package sparwrite

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// ErrInvalid means that a name or document is not valid.
	ErrInvalid = errors.ConstError("invalid")
	// ErrConflict means that another writer changed the document first.
	ErrConflict = errors.ConstError("conflict")
	// ErrForbidden means that another service has claimed an address of the document.
	ErrForbidden = errors.ConstError("forbidden")
	// ErrUnwritten means that the write never reached the platform.
	ErrUnwritten = errors.ConstError("platform unavailable, nothing written")
	// ErrUnknown means that the outcome of the write could not be read back.
	ErrUnknown = errors.ConstError("outcome unknown")
	// ErrMissing means that the service or upstream does not exist.
	ErrMissing = errors.ConstError("no such service or upstream")
)

const (
	// DefaultTimeout limits a write, including all attempts to find out its outcome.
	DefaultTimeout = 10 * time.Second

	retryWait  = 200 * time.Millisecond
	drainTries = 8
)

type (
	// Writer changes the documents of one team.
	Writer struct {
		Store   sparkv.Store
		Team    string
		Timeout time.Duration // 0 means DefaultTimeout
	}

	// Held is a document as the platform holds it. Revision 0 means that there is none.
	Held struct {
		Document sparconfig.Document
		Revision uint64
	}
)

// Get returns the document of a service, or the zero Held if it does not exist.
func (w Writer) Get(ctx context.Context, service string) (h Held, err error) {
	key, err := w.key(service)
	if err != nil {
		return Held{}, err
	}
	e, ok, err := w.Store.Get(ctx, key)
	if err != nil || !ok {
		return Held{}, err
	}
	return parse(e)
}

// List returns the names of the team's services, without the removed ones. A service
// whose document can't be parsed is included.
func (w Writer) List(ctx context.Context) (names []string, err error) {
	if err := sparconfig.CheckName(w.Team); err != nil {
		return nil, errors.WithType(err, ErrInvalid)
	}
	listing, err := w.Store.List(ctx, sparconfig.ServiceKey(w.Team, ""), 0)
	if err != nil {
		return nil, err
	}
	for _, e := range listing.Entries {
		h, err := parse(e)
		if name, ok := sparconfig.ServiceName(e.Key); ok && (err != nil || !h.Document.Removed) {
			names = append(names, strings.TrimPrefix(name, w.Team+"/"))
		}
	}
	return names, nil
}

// Set writes the document of a service. A revision above 0 must be the one that the
// platform holds.
func (w Writer) Set(ctx context.Context, service string, d sparconfig.Document, revision uint64) (wrote uint64, err error) {
	if _, err := d.Service(w.Team+"/"+service, sparregistry.Position{}); err != nil {
		return 0, errors.WithType(err, ErrInvalid)
	}
	base, err := w.Get(ctx, service)
	if err != nil {
		return 0, unwritten(err)
	}
	if revision > 0 && revision != base.Revision {
		return 0, conflict(service, base.Revision)
	}
	return w.write(ctx, service, d, base)
}

// Remove takes a service out of force by marking its document as removed. The document
// stays in the platform to keep the IDs of its writes.
func (w Writer) Remove(ctx context.Context, service string) (wrote uint64, err error) {
	base, err := w.Get(ctx, service)
	if err != nil {
		return 0, unwritten(err)
	}
	if base.Revision == 0 || base.Document.Removed {
		return 0, errors.WithType(errors.Errorf("service %s/%s", w.Team, service), ErrMissing)
	}
	d := base.Document
	d.Removed = true
	return w.write(ctx, service, d, base)
}

// Drain starts to drain an upstream until now plus limit, or plus the drain time of the
// service if limit is not above 0. It tries again after a conflict with another writer, so
// that both changes take effect.
func (w Writer) Drain(ctx context.Context, service, at string, limit time.Duration, now time.Time) (wrote uint64, err error) {
	for range drainTries {
		base, err := w.Get(ctx, service)
		if err != nil {
			return 0, unwritten(err)
		}
		d, err := withDrain(base, service, at, limit, now)
		if err != nil {
			return 0, err
		}
		wrote, err = w.write(ctx, service, d, base)
		if !errors.Is(err, ErrConflict) {
			return wrote, err
		}
	}
	return 0, conflict(service, 0)
}

func withDrain(base Held, service, at string, limit time.Duration, now time.Time) (d sparconfig.Document, err error) {
	if base.Revision == 0 || base.Document.Removed {
		return d, errors.WithType(errors.Errorf("service %s", service), ErrMissing)
	}
	checked, err := base.Document.Service("check/check", sparregistry.Position{})
	if err != nil {
		return d, errors.WithType(err, ErrInvalid)
	}
	if limit <= 0 {
		limit = checked.Drain
	}
	d, ok := base.Document.WithDrain(at, now.Add(limit))
	if !ok {
		return d, errors.WithType(errors.Errorf("upstream %s of %s", at, service), ErrMissing)
	}
	return d, nil
}

// write claims the addresses of d and replaces base by d.
func (w Writer) write(ctx context.Context, service string, d sparconfig.Document, base Held) (wrote uint64, err error) {
	key, err := w.key(service)
	if err != nil {
		return 0, err
	}
	timeout := w.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := w.claim(ctx, service, d, base); err != nil {
		return 0, err
	}
	id := newID()
	d.Writes = base.Document.Writes
	d = d.WithWrite(id)
	return w.commit(ctx, &attempt{key: key, id: id, value: d.Text(), base: base})
}

func (w Writer) key(service string) (key string, err error) {
	if err := sparconfig.CheckName(w.Team); err != nil {
		return "", errors.WithType(errors.Annotate(err, "team"), ErrInvalid)
	}
	if err := sparconfig.CheckName(service); err != nil {
		return "", errors.WithType(errors.Annotate(err, "service"), ErrInvalid)
	}
	return sparconfig.ServiceKey(w.Team, service), nil
}

func parse(e sparregistry.Entry) (h Held, err error) {
	d, err := sparconfig.ReadDocument(e.Value)
	if err != nil {
		return Held{Revision: e.Revision}, errors.Annotatef(err, "document at revision %d", e.Revision)
	}
	return Held{Document: d, Revision: e.Revision}, nil
}

// conflict returns an ErrConflict about a service or key. Revision 0 means unknown.
func conflict(name string, revision uint64) error {
	if revision == 0 {
		return errors.WithType(errors.Errorf("%s was changed by another writer", name), ErrConflict)
	}
	return errors.WithType(errors.Errorf("%s is at revision %d", name, revision), ErrConflict)
}

// unwritten adds ErrUnwritten to an error that occurred before anything was written. An
// ErrInvalid stays as it is.
func unwritten(err error) error {
	if errors.Is(err, ErrInvalid) {
		return err
	}
	return errors.WithType(err, ErrUnwritten)
}
