// Package spartransfer bounds HTTP calls by their progress. A timeout of the whole call would
// also limit the size of its body on a slow link: a larger one would never arrive, however
// often the call is repeated.
//
// A call ends with ErrStalled if its request or response does not begin or go on for a time, or
// is slower than MinRate on average:
//
//	caller := spartransfer.Caller{Client: client, Stall: time.Second}
//	reply, err := caller.Do(request)
//	text, err := spartransfer.ReadBody(reply, limit)
//
// A Handler does the same for the responses of a server.
package spartransfer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// MinRate is the average speed below which a transfer counts as stalled, in bytes a second: a
// fraction of what the slowest link of a VM carries.
const MinRate = 32_000

const (
	// ErrStalled is returned for a call that makes no progress.
	ErrStalled = errors.ConstError("the call has stalled")
	// ErrTooLarge is returned for a response body above its limit.
	ErrTooLarge = errors.ConstError("the response is too large")
)

type (
	// Doer performs HTTP requests, as http.Client does.
	Doer interface {
		Do(r *http.Request) (*http.Response, error)
	}

	// Caller performs HTTP requests through Client.
	Caller struct {
		Client Doer
		// Stall is the time without progress after which a call ends.
		Stall time.Duration
		// Wait is how much longer the server may take to begin its response.
		Wait time.Duration
		// Progress, if set, is called after each part of the response body.
		Progress func()
	}

	// meter ends a call that makes no progress.
	meter struct {
		ctx    context.Context
		cancel context.CancelCauseFunc
		stall  time.Duration
		began  time.Time

		mu    sync.Mutex
		bytes int
		timer *time.Timer
	}

	// request is a request body whose transfer is metered.
	request struct {
		io.ReadCloser
		meter *meter
	}

	// response is a response body whose transfer is metered.
	response struct {
		io.ReadCloser
		meter    *meter
		progress func()
	}
)

// Do performs a request. The body of the response must be closed.
func (c Caller) Do(r *http.Request) (reply *http.Response, err error) {
	m := newMeter(r.Context(), c.Stall, c.Wait)
	r = r.WithContext(m.ctx)
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &request{ReadCloser: r.Body, meter: m}
	}
	reply, err = c.Client.Do(r)
	if err != nil {
		err = m.cause(err)
		m.stop()
		return nil, err
	}
	m.advance(0)
	reply.Body = &response{ReadCloser: reply.Body, meter: m, progress: c.Progress}
	return reply, nil
}

// Read implements io.Reader.
func (b *request) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	b.meter.advance(n)
	return n, err
}

// Read implements io.Reader.
func (b *response) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if n > 0 {
		b.meter.advance(n)
		if b.progress != nil {
			b.progress()
		}
	}
	if err != nil && err != io.EOF {
		err = b.meter.cause(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *response) Close() error {
	b.meter.stop()
	return b.ReadCloser.Close()
}

func newMeter(parent context.Context, stall, wait time.Duration) *meter {
	m := &meter{stall: stall, began: time.Now()}
	m.ctx, m.cancel = context.WithCancelCause(parent)
	m.timer = time.AfterFunc(stall+wait, func() { m.cancel(ErrStalled) })
	return m
}

// advance records that n bytes have been transferred, or that the response has begun.
func (m *meter) advance(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n == 0 && m.bytes == 0 {
		m.began = time.Now()
	}
	m.bytes += n
	left := m.stall + time.Duration(m.bytes)*time.Second/MinRate - time.Since(m.began)
	if m.timer.Stop() {
		m.timer.Reset(max(min(m.stall, left), 0))
	}
}

// stop releases the timer and the context.
func (m *meter) stop() {
	m.timer.Stop()
	m.cancel(context.Canceled)
}

// cause returns ErrStalled if that is why the call has ended, otherwise err.
func (m *meter) cause(err error) error {
	if errors.Is(context.Cause(m.ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}

// ReadBody reads the body of a response, of at most limit bytes.
func ReadBody(reply *http.Response, limit int) (text []byte, err error) {
	if reply.ContentLength > int64(limit) {
		return nil, ErrTooLarge
	}
	text, err = io.ReadAll(io.LimitReader(reply.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(text) > limit {
		return nil, ErrTooLarge
	}
	return text, nil
}
