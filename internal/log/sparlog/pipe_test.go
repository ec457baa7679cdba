package sparlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/log/sparlog"
)

// blockedWriter is a writer that blocks while mu is locked.
type blockedWriter struct {
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestPipeNeverBlocks(t *testing.T) {
	w := &blockedWriter{}
	w.mu.Lock()
	p := sparlog.NewPipe(w)
	began := time.Now()
	for range 100_000 {
		if n, err := p.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d, error %v", n, err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("100,000 lines to a blocked writer took %v", took)
	}
	w.mu.Unlock()
	p.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	text := w.got.String()
	if n := strings.Count(text, "line\n"); n == 0 || n > 10_000 {
		t.Errorf("%d lines arrived, want only those in the ring", n)
	}
	if !strings.Contains(text, "lines lost to a slow reader") {
		t.Error("no line reports the dropped lines")
	}
}

func TestPipeKeepsOrder(t *testing.T) {
	var b bytes.Buffer
	p := sparlog.NewPipe(&b)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		if _, err := p.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	p.Close()
	if b.String() != "a\nb\nc\n" {
		t.Errorf("got %q", b.String())
	}
}
