package sparwrite_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparwrite"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparstore"
)

func (p platform) evacuator() sparwrite.Evacuator {
	return sparwrite.Evacuator{Store: p.kalk.Store, Timeout: 2 * time.Second}
}

func assertEvacuation(t *testing.T, p platform, ended bool, revision uint64) {
	t.Helper()
	e, ok, err := p.kalk.Store.Get(context.Background(), sparconfig.EvacuationKey("north"))
	if err != nil || !ok {
		t.Fatalf("no evacuation on the platform, error %v", err)
	}
	if d, err := sparconfig.ReadEvacuation(e.Value); err != nil || d.Ended != ended || e.Revision != revision {
		t.Errorf("%+v at %d, %v; want ended %t at %d", d, e.Revision, err, ended, revision)
	}
}

// TestEvacuateTwice checks that what is so already is done, without a write.
func TestEvacuateTwice(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(t)
	w := p.evacuator()
	for _, ended := range []bool{true, false, true, false} {
		write := w.Evacuate
		if ended {
			write = w.End
		}
		first, err := write(ctx, "north")
		if err != nil {
			t.Fatal(err)
		}
		again, err := write(ctx, "north")
		if err != nil || again != first {
			t.Errorf("again: revision %d after %d, error %v", again, first, err)
		}
		assertEvacuation(t, p, ended, first)
	}
	for _, domain := range []string{"", "North", "../team", "a/b"} {
		_, err := w.Evacuate(ctx, domain)
		assertCause(t, err, sparwrite.ErrInvalid)
	}
}

// TestEvacuateReplacesDamage covers a value that another writer has left.
func TestEvacuateReplacesDamage(t *testing.T) {
	p := newPlatform(t)
	p.store.Put(sparkv.Root+sparconfig.EvacuationKey("north"), []byte("{"))
	if _, ok, err := p.kalk.Store.Get(context.Background(), sparconfig.EvacuationKey("north")); !ok || err != nil {
		t.Fatalf("no damaged value on the platform, error %v", err)
	}
	revision, err := p.evacuator().Evacuate(context.Background(), "north")
	if err != nil {
		t.Fatal(err)
	}
	assertEvacuation(t, p, false, revision)
}

func TestEvacuateWithLostResponse(t *testing.T) {
	p := newPlatform(t)
	p.store.SetFaults(sparstore.Faults{Lose: 1})
	revision, err := p.evacuator().Evacuate(context.Background(), "north")
	if err != nil {
		t.Fatal(err)
	}
	assertEvacuation(t, p, false, revision)
}

// delayedStore is a Store whose first swap reaches the platform only when it is released.
type delayedStore struct {
	sparkv.Store
	late func() // sends the swap
}

func (s *delayedStore) Swap(ctx context.Context, key string, value []byte, revision uint64) (ok bool, err error) {
	if s.late == nil {
		s.late = func() { _, _ = s.Store.Swap(context.Background(), key, value, revision) }
		return false, errors.New("no response")
	}
	return s.Store.Swap(ctx, key, value, revision)
}

// TestDelayedWriteEvacuatesAgain guards against a request that is under way for long, and arrives
// when the evacuation has been ended.
func TestDelayedWriteEvacuatesAgain(t *testing.T) {
	ctx := context.Background()
	t.Run("after a retry", func(t *testing.T) {
		p := newPlatform(t)
		slow := &delayedStore{Store: p.kalk.Store}
		if _, err := (sparwrite.Evacuator{Store: slow}).Evacuate(ctx, "north"); err != nil {
			t.Fatal(err)
		}
		ended, err := p.evacuator().End(ctx, "north")
		if err != nil {
			t.Fatal(err)
		}
		slow.late()
		assertEvacuation(t, p, true, ended)
	})
	t.Run("after an unknown outcome", func(t *testing.T) {
		p := newPlatform(t)
		slow := &delayedStore{Store: p.kalk.Store}
		_, err := (sparwrite.Evacuator{Store: slow, Timeout: 50 * time.Millisecond}).Evacuate(ctx, "north")
		assertCause(t, err, sparwrite.ErrUnknown)
		ended, err := p.evacuator().End(ctx, "north")
		if err != nil {
			t.Fatal(err)
		}
		slow.late()
		assertEvacuation(t, p, true, ended)
	})
}

// betweenStore is a Store in which another writer comes between a read and the first swap.
type betweenStore struct {
	sparkv.Store
	between func()
}

func (s *betweenStore) Swap(ctx context.Context, key string, value []byte, revision uint64) (ok bool, err error) {
	if s.between != nil {
		s.between()
		s.between = nil
	}
	return s.Store.Swap(ctx, key, value, revision)
}

func TestEvacuateBesideOthers(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name     string
		between  func(w sparwrite.Evacuator) (uint64, error)
		conflict bool
	}{
		{"the same", func(w sparwrite.Evacuator) (uint64, error) { return w.Evacuate(ctx, "north") }, false},
		{"the opposite", func(w sparwrite.Evacuator) (uint64, error) { return w.End(ctx, "north") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform(t)
			other := p.evacuator()
			store := &betweenStore{Store: p.kalk.Store, between: func() {
				if _, err := c.between(other); err != nil {
					t.Error(err)
				}
			}}
			_, err := (sparwrite.Evacuator{Store: store}).Evacuate(ctx, "north")
			if c.conflict {
				assertCause(t, err, sparwrite.ErrConflict)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
}

func TestEvacuateWithoutPlatform(t *testing.T) {
	ctx := context.Background()
	t.Run("down", func(t *testing.T) {
		p := newPlatform(t)
		p.store.SetFaults(sparstore.Faults{Down: true})
		_, err := p.evacuator().Evacuate(ctx, "north")
		assertCause(t, err, sparwrite.ErrUnwritten)
	})
	t.Run("connection refused", func(t *testing.T) {
		w := sparwrite.Evacuator{Store: sparkv.New("127.0.0.1:1"), Timeout: time.Second}
		_, err := w.End(ctx, "north")
		assertCause(t, err, sparwrite.ErrUnwritten)
	})
}
