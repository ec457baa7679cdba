package sparsoak

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	minBetweenEvacuations = time.Second
	maxBetweenEvacuations = 4 * time.Second
	// minEvacuation leaves time to check what comes after Force.
	minEvacuation = Force + time.Second
	maxEvacuation = Force + 4*time.Second
	// minOutside is the number of upstreams of each service that must be outside of a domain for
	// its evacuation.
	minOutside = 2
)

// evacuation is the failure domain that the operator has evacuated last. At most one is evacuated at
// a time, so that flows have somewhere to go.
type evacuation struct {
	mu     sync.Mutex
	domain string    // "" before the first one
	since  time.Time // when the store accepted it
	ended  time.Time // when the store accepted its end; zero while it lasts
}

// injectWithEvacuations injects the faults of the plan, and evacuates failure domains meanwhile.
func (t *testbed) injectWithEvacuations(ctx context.Context) {
	rng := newRand(t.plan.Seed, 5) // of its own, so that the other faults of a seed stay the same
	faulty, end := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer end()
	wg.Go(func() { t.evacuations(faulty, rng) })
	wg.Go(func() { t.injectUnwell(faulty) })
	wg.Go(func() { t.returns(faulty) })
	wg.Go(func() { t.absences(faulty) })
	wg.Go(func() { t.injectOdd(faulty) })
	if t.plan.Restores {
		t.injectWithRestores(ctx)
		return
	}
	t.injectFaults(ctx)
	t.endFaults()
}

// evacuations evacuates failure domains, one after the other, until ctx ends, and takes the last one
// back.
func (t *testbed) evacuations(ctx context.Context, rng *random) {
	for ctx.Err() == nil {
		sleep(ctx, t.calm(rng.between(minBetweenEvacuations, maxBetweenEvacuations)))
		domain, d := zoneOf(rng.intN(2)), rng.between(minEvacuation, maxEvacuation)
		if ctx.Err() != nil || !t.canSpare(domain) {
			continue
		}
		t.reportFault("failure domain %s is evacuated for %v", domain, d)
		t.evacuate(domain)
		sleep(ctx, d)
		t.endEvacuation(domain)
		t.reportFault("the evacuation of failure domain %s has ended", domain)
	}
}

// outside returns the number of warm upstreams of a service that take flows outside of a domain.
func (t *testbed) outside(service, domain string) (n int) {
	for _, s := range t.live(service) {
		if s.Zone != domain && !t.checker.isCold(s) {
			n++
		}
	}
	return n
}

// canSpare reports whether enough warm upstreams outside of a domain remain for its evacuation, or for
// a return of its upstreams. Those that a fault is about to end don't count.
func (t *testbed) canSpare(domain string) bool {
	booked, received := t.outside(booking, domain), t.outside(receipts, domain)
	for _, s := range t.running() {
		if s.Zone == domain || s.Draining() || !t.isEnding(s) || t.checker.isCold(s) {
			continue
		}
		if s.Service == booking {
			booked--
		} else {
			received--
		}
	}
	return booked >= minOutside && received >= minOutside-1
}

func (t *testbed) evacuate(domain string) {
	e := &t.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	t.store.Put(sparfake.EvacuationPrefix+domain, []byte("{}"))
	e.domain, e.since, e.ended = domain, time.Now(), time.Time{}
}

func (t *testbed) endEvacuation(domain string) {
	e := &t.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	t.store.Remove(sparfake.EvacuationPrefix + domain)
	e.ended = time.Now()
}

// evacuateAgain writes the operator's latest state of evacuations if the store holds another one.
func (t *testbed) evacuateAgain() {
	e := &t.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range t.store.Keys(sparfake.EvacuationPrefix) {
		if key != sparfake.EvacuationPrefix+e.domain || !e.ended.IsZero() {
			t.store.Remove(key)
		}
	}
	if _, ok := t.store.Get(sparfake.EvacuationPrefix + e.domain); e.domain != "" && e.ended.IsZero() && !ok {
		t.store.Put(sparfake.EvacuationPrefix+e.domain, []byte("{}"))
	}
}

// evacuatedFor returns how long a failure domain has been evacuated, 0 if it is not.
func (t *testbed) evacuatedFor(domain string) time.Duration {
	e := &t.evacuation
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.domain != domain || !e.ended.IsZero() {
		return 0
	}
	return time.Since(e.since)
}

// mayRefuse reports whether VMs may refuse new flows of a service, since there is no warm upstream
// of it outside of a domain that is evacuated or may still be at some VM.
func (t *testbed) mayRefuse(service string) bool {
	e := &t.evacuation
	e.mu.Lock()
	domain, lasting := e.domain, e.ended.IsZero() || time.Since(e.ended) < Force+responseTimeout
	e.mu.Unlock()
	if !lasting {
		domain = ""
	}
	return t.outside(service, domain) == 0
}

// checkEvacuated checks that a flow that was opened now by a VM may open at s. The caller holds mu.
func (c *checker) checkEvacuated(s *sparfake.Server, v *vm) {
	if elapsed := c.testbed.evacuatedFor(s.Zone); elapsed > Force && c.testbed.faultLog.stable(v.name, storeParty) {
		c.addViolation("EVAC", "%s opened a flow at upstream %x in %s, evacuated for %v", v.name, s.ID, s.Zone, elapsed.Round(time.Millisecond))
	}
	if c.testbed.evacuatedFor(zoneOf(0))+c.testbed.evacuatedFor(zoneOf(1)) > Force {
		c.report.Elsewhere++
	}
}

// checkEvacuations checks the evacuations that a VM reports against those that the store held at its
// revision. The caller holds mu.
func (c *checker) checkEvacuations(v *vm, facts *sparcontrol.FactsReply, history []sparfake.Change) {
	held, later := map[string]bool{}, map[string]bool{}
	for _, change := range history {
		domain, ok := strings.CutPrefix(change.Key, sparfake.EvacuationPrefix)
		switch {
		case !ok:
		case change.Revision > facts.Revision:
			later[domain] = true
		default:
			held[domain] = !change.Removed
		}
	}
	for n := range 2 {
		domain := zoneOf(n)
		reported := slices.ContainsFunc(facts.Evacuations, func(e *sparcontrol.EvacuationFacts) bool { return e.Domain == domain })
		if reported != held[domain] && !later[domain] && c.testbed.faultLog.stable(v.name, storeParty) {
			c.addViolation("STATUS", "%s at revision %d: evacuation of %s %t, want %t", v.name, facts.Revision, domain, reported, held[domain])
		}
	}
}
