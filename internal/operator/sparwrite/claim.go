package sparwrite

import (
	"context"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// claim claims every address of d for the service. It returns ErrForbidden if another
// service has a claim on one of them. A claim of this service that base doesn't use is
// renewed, because VMs release an unused claim whose revision doesn't change. A claim left
// without a document is harmless until they release it.
func (w Writer) claim(ctx context.Context, service string, d sparconfig.Document, base Held) error {
	if d.Removed {
		return nil
	}
	name := w.Team + "/" + service
	var used []string
	if !base.Document.Removed {
		used = base.Document.Claims()
	}
	for _, key := range d.Claims() {
		if err := w.claimOne(ctx, key, name, slices.Contains(used, key)); err != nil {
			return err
		}
	}
	return nil
}

// claimOne creates or renews one claim. A claim in use needs no renewal.
func (w Writer) claimOne(ctx context.Context, key, name string, used bool) error {
	for {
		e, held, err := w.Store.Get(ctx, key)
		switch {
		case err == nil && held && string(e.Value) != name:
			return errors.WithType(errors.Errorf("%s is held by %s", strings.TrimPrefix(key, sparconfig.ClaimPrefix), e.Value), ErrForbidden)
		case err == nil && held && used:
			return nil
		case err == nil:
			if ok, err := w.Store.Swap(ctx, key, []byte(name), e.Revision); err == nil && ok {
				return nil
			}
		}
		if !sparring.Pause(ctx, retryWait) {
			return unwritten(errors.Annotatef(ctx.Err(), "claim %s", key))
		}
	}
}
