package sparwrite_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparwrite"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparstore"
)

// platform is a fake platform with writers for two teams.
type platform struct {
	store *sparstore.Store
	kalk  sparwrite.Writer
	qant  sparwrite.Writer
}

func newPlatform(t *testing.T) platform {
	store := sparstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	client := sparkv.New(strings.TrimPrefix(server.URL, "http://"))
	return platform{
		store: store,
		kalk:  sparwrite.Writer{Store: client, Team: "kalkkirinne", Timeout: 2 * time.Second},
		qant:  sparwrite.Writer{Store: client, Team: "qantara", Timeout: 2 * time.Second},
	}
}

// set writes the document of the service booking of team kalkkirinne.
func (p platform) set(t *testing.T, d sparconfig.Document) (revision uint64) {
	t.Helper()
	revision, err := p.kalk.Set(context.Background(), "booking", d, 0)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func document(net int, spread float64) sparconfig.Document {
	return sparconfig.Document{
		Address: fmt.Sprintf("198.51.100.%d:443", net), Proto: "tcp", Spread: spread,
		Upstreams: []sparconfig.Member{{At: fmt.Sprintf("10.0.%d.1:8080", net)}, {At: fmt.Sprintf("10.0.%d.2:8080", net)}},
	}
}

func assertCause(t *testing.T, err, cause error) {
	t.Helper()
	if !errors.Is(err, cause) {
		t.Fatalf("error %v, want %v", err, cause)
	}
}

func assertHeld(t *testing.T, w sparwrite.Writer, spread float64, revision uint64) {
	t.Helper()
	held, err := w.Get(context.Background(), "booking")
	if err != nil || held.Document.Spread != spread || held.Revision != revision {
		t.Fatalf("held %v at %d, %v; want %v at %d", held.Document.Spread, held.Revision, err, spread, revision)
	}
}

func TestLostResponseIsReadBack(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(t)
	p.set(t, document(1, 0.1))
	p.store.SetFaults(sparstore.Faults{Lose: 1})
	revision, err := p.kalk.Set(ctx, "booking", document(1, 0.2), 0)
	if err != nil {
		t.Fatalf("Set with a lost response: %v", err)
	}
	assertHeld(t, p.kalk, 0.2, revision)
}

// lossyStore is a Store that loses the response to the first swap of a document. It calls
// after first, so that other writers can follow before the document is read back.
type lossyStore struct {
	sparkv.Store
	once  sync.Once
	after func()
}

func (h *lossyStore) Swap(ctx context.Context, key string, value []byte, revision uint64) (ok bool, err error) {
	ok, err = h.Store.Swap(ctx, key, value, revision)
	if strings.HasPrefix(key, sparconfig.TeamPrefix) {
		h.once.Do(func() {
			h.after()
			ok, err = false, errors.New("response lost")
		})
	}
	return ok, err
}

func TestLostResponseThenMoreWriters(t *testing.T) {
	cases := []struct {
		name    string
		writers int
		cause   error
	}{
		{"three", 3, nil},
		{"more than the document keeps IDs of", sparconfig.MaxWrites + 1, sparwrite.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx := context.Background()
			p := newPlatform(t)
			p.set(t, document(1, 0.1))
			w := p.kalk
			w.Store = &lossyStore{Store: p.kalk.Store, after: func() {
				for i := range c.writers {
					if _, err := p.kalk.Set(ctx, "booking", document(1, 0.3+float64(i)/100), 0); err != nil {
						t.Errorf("writer %d: %v", i, err)
					}
				}
			}}
			_, err := w.Set(ctx, "booking", document(1, 0.2), 0)
			if c.cause == nil && err != nil {
				t.Fatalf("Set: %v, want accepted", err)
			}
			if c.cause != nil {
				assertCause(t, err, c.cause)
			}
		})
	}
}

func TestConcurrentWriters(t *testing.T) {
	const writers = 8
	ctx := context.Background()
	p := newPlatform(t)
	first := p.set(t, document(1, 0.1))
	var mu sync.Mutex
	var wg sync.WaitGroup
	winners := map[float64]uint64{}
	for i := range writers {
		wg.Go(func() {
			spread := 0.2 + float64(i)/100
			revision, err := p.kalk.Set(ctx, "booking", document(1, spread), first)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				winners[spread] = revision
				return
			}
			if !errors.Is(err, sparwrite.ErrConflict) || !strings.Contains(err.Error(), "at revision") {
				t.Errorf("error %v, want a conflict with a revision", err)
			}
		})
	}
	wg.Wait()
	if len(winners) != 1 {
		t.Fatalf("accepted writes %v, want one", winners)
	}
	for spread, revision := range winners {
		assertHeld(t, p.kalk, spread, revision)
	}
}

func TestPlatformFaults(t *testing.T) {
	ctx := context.Background()
	t.Run("down", func(t *testing.T) {
		p := newPlatform(t)
		p.store.SetFaults(sparstore.Faults{Down: true})
		_, err := p.kalk.Set(ctx, "booking", document(1, 0), 0)
		assertCause(t, err, sparwrite.ErrUnwritten)
	})
	t.Run("connection refused", func(t *testing.T) {
		w := sparwrite.Writer{Store: sparkv.New("127.0.0.1:1"), Team: "kalkkirinne", Timeout: time.Second}
		_, err := w.Set(ctx, "booking", document(1, 0), 0)
		assertCause(t, err, sparwrite.ErrUnwritten)
	})
	t.Run("down after the write", func(t *testing.T) {
		p := newPlatform(t)
		p.set(t, document(1, 0.1))
		w := p.kalk
		w.Store = &lossyStore{Store: p.kalk.Store, after: func() { p.store.SetFaults(sparstore.Faults{Down: true}) }}
		_, err := w.Set(ctx, "booking", document(1, 0.2), 0)
		assertCause(t, err, sparwrite.ErrUnknown)
	})
	t.Run("slow", func(t *testing.T) {
		p := newPlatform(t)
		p.store.SetFaults(sparstore.Faults{Slow: 50 * time.Millisecond})
		p.set(t, document(1, 0.1))
	})
}

func TestClaims(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(t)
	p.set(t, document(1, 0))
	d := document(2, 0)
	d.Upstreams = document(1, 0).Upstreams
	_, err := p.qant.Set(ctx, "gateway", d, 0)
	assertCause(t, err, sparwrite.ErrForbidden)
	if !strings.Contains(err.Error(), "held by kalkkirinne/booking") {
		t.Errorf("error %q does not name the service with the claim", err)
	}
}

// TestReaddedAddressRenewsItsClaim removes an address from a document and adds it again.
// VMs release an unused claim whose revision doesn't change, so adding the address again
// must renew the claim. A claim in use all the time stays as it is.
func TestReaddedAddressRenewsItsClaim(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(t)
	both := document(1, 0)
	one := both
	one.Upstreams = both.Upstreams[:1]
	revision := func(at string) uint64 {
		endpoint, err := sparflow.ParseEndpoint(at)
		if err != nil {
			t.Fatal(err)
		}
		e, ok, err := p.kalk.Store.Get(ctx, sparconfig.ClaimKey(sparflow.TCP, endpoint))
		if err != nil || !ok {
			t.Fatalf("claim on %s: %v, %v", at, ok, err)
		}
		return e.Revision
	}
	for _, d := range []sparconfig.Document{both, one} {
		p.set(t, d)
	}
	unused, used := revision(both.Upstreams[1].At), revision(both.Upstreams[0].At)
	p.set(t, both)
	if now := revision(both.Upstreams[1].At); now == unused {
		t.Errorf("the claim of the added address stays at revision %d", now)
	}
	if now := revision(both.Upstreams[0].At); now != used {
		t.Errorf("the claim in use changed from revision %d to %d", used, now)
	}
}

func TestDrainKeepsOtherChanges(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(t)
	p.set(t, document(1, 0.1))
	w := p.kalk
	w.Store = &lossyStore{Store: p.kalk.Store, after: func() {}}
	now := time.Unix(1_800_000_000, 0)
	if _, err := w.Drain(ctx, "booking", "10.0.1.2:8080", time.Minute, now); err != nil {
		t.Fatal(err)
	}
	held, err := w.Get(ctx, "booking")
	if err != nil || held.Document.Spread != 0.1 || held.Document.Upstreams[1].Until != now.Unix()+60 {
		t.Errorf("held %+v, %v", held.Document, err)
	}
	_, err = w.Drain(ctx, "booking", "10.0.9.9:1", 0, now)
	assertCause(t, err, sparwrite.ErrMissing)
}
