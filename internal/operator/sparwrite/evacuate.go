package sparwrite

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

// Evacuator asks for evacuations of failure domains and ends them. What is so already is done.
type Evacuator struct {
	Store   sparkv.Store
	Timeout time.Duration // 0 means DefaultTimeout
}

// Evacuate asks that the upstreams of a failure domain take no new flows. It returns the revision
// that asks for it.
func (w Evacuator) Evacuate(ctx context.Context, domain string) (revision uint64, err error) {
	return w.write(ctx, domain, sparconfig.EvacuationDocument{})
}

// End ends the evacuation of a failure domain. It returns the revision that ended it.
func (w Evacuator) End(ctx context.Context, domain string) (revision uint64, err error) {
	return w.write(ctx, domain, sparconfig.EvacuationDocument{Ended: true})
}

// write writes the document of an evacuation unless the platform holds the same. All swaps expect
// the revision that was read first, so at most one takes effect. Another writer who comes between
// is a conflict, unless it wrote the same.
func (w Evacuator) write(ctx context.Context, domain string, want sparconfig.EvacuationDocument) (revision uint64, err error) {
	if err := sparconfig.CheckName(domain); err != nil {
		return 0, errors.WithType(errors.Annotate(err, "failure domain"), ErrInvalid)
	}
	timeout := w.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	base, err := w.held(ctx, domain)
	if err != nil {
		return 0, unwritten(err)
	}
	if base.is(want) {
		return base.revision, nil
	}
	return w.commit(ctx, domain, base, want)
}

// commit repeats a write until its outcome is known or ctx ends. What the platform holds tells the
// outcome, whatever the response to the write.
func (w Evacuator) commit(ctx context.Context, domain string, base evacuation, want sparconfig.EvacuationDocument) (revision uint64, err error) {
	key, sent := sparconfig.EvacuationKey(domain), false
	for {
		_, err := w.Store.Swap(ctx, key, want.Text(), base.revision)
		sent = sent || !errors.Is(err, sparkv.ErrUnsent)
		now, err := w.held(ctx, domain)
		switch {
		case err != nil:
		case now.is(want):
			return now.revision, nil
		case now.revision != base.revision:
			return 0, conflict(key, now.revision)
		}
		if !sparring.Pause(ctx, retryWait) {
			return 0, (&attempt{key: key, sent: sent}).timeoutError()
		}
	}
}

// evacuation is what the platform holds of an evacuation. Revision 0 means nothing.
type evacuation struct {
	revision uint64
	document sparconfig.EvacuationDocument
	damaged  bool // the value can't be read; VMs take it to be in force
}

// is reports whether the platform holds the document. Where it holds nothing, an end is written all
// the same: a request whose outcome was unknown may still be under way, and must find the key taken.
func (e evacuation) is(want sparconfig.EvacuationDocument) bool {
	return e.revision > 0 && e.document == want && !e.damaged
}

func (w Evacuator) held(ctx context.Context, domain string) (e evacuation, err error) {
	entry, ok, err := w.Store.Get(ctx, sparconfig.EvacuationKey(domain))
	if err != nil || !ok {
		return evacuation{}, err
	}
	e.revision = entry.Revision
	e.document, err = sparconfig.ReadEvacuation(entry.Value)
	e.damaged = err != nil
	return e, nil
}
