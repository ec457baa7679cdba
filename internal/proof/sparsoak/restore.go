package sparsoak

import (
	"bytes"
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	// copyEvery is the interval at which the store makes a copy, and maxCopies how many it keeps.
	copyEvery = 500 * time.Millisecond
	maxCopies = 18
	// rewriteTime is the time within which the operator and the upstreams write again what a
	// restore has lost.
	rewriteTime = 2 * time.Second
	// lapseTime is the time after which the store removes the entries of upstreams that are gone:
	// three of their heartbeats.
	lapseTime = 3 * sparconfig.DefaultBeat * time.Millisecond

	minBetweenRestores = 3 * time.Second
	maxBetweenRestores = 8 * time.Second
	maxRestoreOutage   = 1500 * time.Millisecond
	lastChanges        = 3 // of routes, after the last restore
)

// injectWithRestores injects the faults of the plan and restores the store meanwhile. Once they have
// ended it restores the store once more and changes routes, so that revisions which the VMs
// have seen are given out again when nothing else disturbs the checks.
func (t *testbed) injectWithRestores(ctx context.Context) {
	rng := newRand(t.plan.Seed, 4) // of its own, so that the other faults of a seed stay the same
	faulty, end := context.WithCancel(ctx)
	oldest := make(chan sparfake.Copy, 1)
	var wg conc.WaitGroup
	wg.Go(func() { oldest <- t.restores(faulty, rng) })
	t.injectFaults(ctx)
	end()
	wg.Wait()
	t.endFaults()
	t.restore(<-oldest, 0, rng)
	for range lastChanges {
		t.changeRoutes()
		sleep(ctx, rng.between(0, time.Second))
	}
}

// restores makes copies of the store and restores it from one of them, now and then, until ctx
// ends. It returns the oldest copy left.
func (t *testbed) restores(ctx context.Context, rng *random) sparfake.Copy {
	copies := []sparfake.Copy{t.store.Copy()}
	var wg conc.WaitGroup
	defer wg.Wait()
	next := time.Now().Add(rng.between(minBetweenRestores, maxBetweenRestores))
	for ctx.Err() == nil {
		sleep(ctx, copyEvery)
		if time.Now().Before(next) {
			copies = append(copies, t.store.Copy())
			copies = copies[max(len(copies)-maxCopies, 0):]
			continue
		}
		n := rng.intN(len(copies))
		older, outage := copies[n], time.Duration(rng.intN(2))*rng.between(0, maxRestoreOutage)
		copies = copies[:n+1] // those made later are of a history that is gone
		next = time.Now().Add(rng.between(minBetweenRestores, maxBetweenRestores))
		wg.Go(func() { t.restore(older, outage, rng) })
	}
	return copies[0]
}

// restore puts the store back to an older copy, after an outage. Then its writers write again what
// is lost, each in its own time. The fault ends with the last of them.
func (t *testbed) restore(older sparfake.Copy, outage time.Duration, rng *random) {
	defer t.faultLog.begin(storeParty)()
	t.reportFault("the store is restored from an older copy after an outage of %v", outage)
	if outage > 0 {
		t.store.SetFault(sparfake.Refuses)
		time.Sleep(outage)
		t.store.SetFault(sparfake.NoFault)
	}
	t.store.Restore(older)
	var wg conc.WaitGroup
	defer wg.Wait()
	wait := rng.between(0, rewriteTime)
	wg.Go(func() {
		time.Sleep(wait)
		t.publishAgain()
		t.evacuateAgain()
	})
	for _, s := range t.running() {
		wait := rng.between(0, rewriteTime)
		wg.Go(func() {
			time.Sleep(wait)
			t.registerAgain(s)
		})
	}
	wg.Go(func() {
		time.Sleep(lapseTime)
		t.removeLapsed()
	})
}

// publishAgain writes the latest document of the operator if the store does not hold it.
func (t *testbed) publishAgain() {
	o := &t.operator
	o.mu.Lock()
	defer o.mu.Unlock()
	value := o.document()
	if held, ok := t.store.Get(sparfake.RoutingKey); !ok || !bytes.Equal(held, value) {
		t.store.Put(sparfake.RoutingKey, value)
	}
}

// removeLapsed removes the entries of upstreams that have ended.
func (t *testbed) removeLapsed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, s := range t.servers {
		key, _ := s.Entry()
		present[key] = true
	}
	for _, key := range t.store.Keys(sparfake.ServerPrefix) {
		if !present[key] {
			t.store.Remove(key)
		}
	}
}

// checkEra checks a VM that is in another era than the store, or keeps entries of an earlier one,
// although nothing has disturbed the two for long. An older build of the VM names no era.
func (c *checker) checkEra(v *vm, facts *sparcontrol.FactsReply, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Words++
	if facts.Era > 0 && c.testbed.faultLog.stableFor(2*stableTime, v.name, storeParty) {
		c.addViolation("STATUS", "%s is in era %d, restoring: %v, the store has been in era %d for long", v.name, facts.Era, facts.Restoring, era)
	}
}
