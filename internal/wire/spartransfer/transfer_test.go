package spartransfer_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/wire/spartransfer"
)

const (
	stall = 200 * time.Millisecond
	limit = 1 << 20
)

// ExampleCaller reads a small response.
func ExampleCaller() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("settings")) // the client may have disconnected
	}))
	defer server.Close()
	caller := spartransfer.Caller{Client: http.DefaultClient, Stall: time.Second}
	request, _ := http.NewRequest(http.MethodGet, server.URL, nil)
	reply, _ := caller.Do(request)
	defer func() { _ = reply.Body.Close() }()
	text, err := spartransfer.ReadBody(reply, limit)
	fmt.Println(string(text), err)
	// Output: settings <nil>
}

// part is a piece of a response body and the pause before it.
type part struct {
	pause time.Duration
	bytes int
}

// serve returns the URL of a server that responds with the parts.
func serve(t *testing.T, parts ...part) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for _, p := range parts {
			select {
			case <-time.After(p.pause):
			case <-r.Context().Done():
				return
			}
			_, _ = w.Write(make([]byte, p.bytes)) // the client may have disconnected
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// get performs a call and returns the number of bytes that it reads.
func get(t *testing.T, caller spartransfer.Caller, url string, limit int) (size int, err error) {
	t.Helper()
	caller.Client = http.DefaultClient
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	reply, err := caller.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = reply.Body.Close() }()
	text, err := spartransfer.ReadBody(reply, limit)
	return len(text), err
}

// steady returns equal parts, each after the same pause.
func steady(n int, p part) []part {
	parts := make([]part, n)
	for i := range parts {
		parts[i] = p
	}
	return parts
}

func TestCaller(t *testing.T) {
	caller := spartransfer.Caller{Stall: stall}
	waiting := spartransfer.Caller{Stall: stall, Wait: stall}
	for _, c := range []struct {
		name   string
		caller spartransfer.Caller
		parts  []part
		limit  int
		want   error
	}{
		{"a response that takes longer than the stall time, without a pause", caller, steady(10, part{50 * time.Millisecond, 8000}), limit, nil},
		{"a response that does not begin", caller, []part{{2 * stall, 10}}, limit, spartransfer.ErrStalled},
		{"a response that may begin late", waiting, []part{{3 * stall / 2, 10}}, limit, nil},
		{"a response that breaks off", caller, []part{{0, 10}, {2 * stall, 10}}, limit, spartransfer.ErrStalled},
		{"a response that trickles", caller, steady(10, part{50 * time.Millisecond, 1}), limit, spartransfer.ErrStalled},
		{"a response above its limit", caller, []part{{0, 101}}, 100, spartransfer.ErrTooLarge},
		{"a response at its limit", caller, []part{{0, 100}}, 100, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := 0
			for _, p := range c.parts {
				want += p.bytes
			}
			size, err := get(t, c.caller, serve(t, c.parts...), c.limit)
			if !errors.Is(err, c.want) || err == nil && size != want {
				t.Errorf("%d bytes, error %v, want %d bytes or error %v", size, err, want, c.want)
			}
		})
	}
}

func TestProgressIsReported(t *testing.T) {
	reports := 0
	caller := spartransfer.Caller{Stall: stall, Progress: func() { reports++ }}
	if _, err := get(t, caller, serve(t, steady(3, part{20 * time.Millisecond, 10})...), limit); err != nil || reports < 3 {
		t.Errorf("%d reports of 3 parts, error %v", reports, err)
	}
}

// TestLargeResponsesOutlastTheWriteTimeout reads a response more slowly than the write timeout of
// the server allows for a whole response.
func TestLargeResponsesOutlastTheWriteTimeout(t *testing.T) {
	const (
		size    = 24 << 20 // several times the buffers of a connection
		piece   = 1 << 20
		pause   = 100 * time.Millisecond
		timeout = time.Second
	)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size)) // an error shows in the size read
	})
	server := httptest.NewUnstartedServer(spartransfer.Handler(handler, timeout))
	server.Config.WriteTimeout = timeout
	server.Start()
	t.Cleanup(server.Close)
	reply, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reply.Body.Close() }()
	got := int64(0)
	for n := int64(piece); n == piece; time.Sleep(pause) {
		n, err = io.CopyN(io.Discard, reply.Body, piece)
		got += n
	}
	if got != size {
		t.Errorf("%d of %d bytes, error %v", got, size, err)
	}
}
