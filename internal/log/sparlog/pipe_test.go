package sparlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/log/sparlog"
)

// stuck is a writer that takes nothing until it is let go.
type stuck struct {
	gate sync.Mutex
	got  bytes.Buffer
}

func (s *stuck) Write(b []byte) (n int, err error) {
	s.gate.Lock()
	defer s.gate.Unlock()
	return s.got.Write(b)
}

func TestPipeNeverBlocks(t *testing.T) {
	w := &stuck{}
	w.gate.Lock()
	p := sparlog.NewPipe(w)
	began := time.Now()
	for range 100_000 {
		if n, err := p.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d, error %v", n, err)
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("100,000 lines to a stuck reader took %v", took)
	}
	w.gate.Unlock()
	p.Close()
	w.gate.Lock()
	defer w.gate.Unlock()
	text := w.got.String()
	if n := strings.Count(text, "line\n"); n == 0 || n > 10_000 {
		t.Errorf("%d lines arrived, want those that the ring holds", n)
	}
	if !strings.Contains(text, "lines lost to a slow reader") {
		t.Error("lost lines are not said")
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
