package sparsoak

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	minBetweenOdd = 200 * time.Millisecond
	maxBetweenOdd = 1500 * time.Millisecond
	// beat is the interval of an upstream's heartbeats, with which it notices a foreign entry.
	beat = sparconfig.DefaultBeat * time.Millisecond
)

// injectOdd replaces entries of upstreams by ones of another writer that name no upstream to use, until ctx ends.
// Each upstream writes its own again with its next heartbeat. None of this is in the fault log, since
// nothing may break because of it.
func (t *testbed) injectOdd(ctx context.Context) {
	if !t.plan.Odd {
		return
	}
	rng := newRand(t.plan.Seed, 9) // of its own, so that the other faults of a seed stay the same
	var wg conc.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		sleep(ctx, t.calm(rng.between(minBetweenOdd, maxBetweenOdd)))
		list := t.running()
		if ctx.Err() != nil || len(list) == 0 {
			continue
		}
		s := list[rng.intN(len(list))]
		key, own := s.Entry()
		odd := sparfake.OddEntriesOf(own, s.Service, otherService(s.Service))
		variant := odd[rng.intN(len(odd))]
		if !t.overwrite(s, key, variant.Value) {
			continue
		}
		t.reportFault("another writer leaves an entry for upstream %x: %s", s.ID, variant.Name)
		wait := rng.between(0, beat)
		wg.Go(func() {
			time.Sleep(wait)
			t.registerAgain(s)
		})
	}
}

// overwrite replaces the entry of an upstream, and reports whether the upstream runs.
func (t *testbed) overwrite(s *sparfake.Server, key string, value []byte) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers[s.ID] != s {
		return false
	}
	t.store.Put(key, value)
	return true
}

func otherService(service string) string {
	if service == booking {
		return receipts
	}
	return booking
}
