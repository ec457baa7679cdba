// Package sparsoak runs entry VMs as processes on loopback and injects faults from outside,
// chosen by a seed, while it checks invariants on what clients and upstreams observe.
//
// The VMs run the real program. The platform's store, the fabric, the clients and the
// upstreams are fakes in this process, with a proxy between each VM and the store. Faults
// are signals, restarts, changes of settings, and failures of the store and of upstreams;
// they follow each other and overlap:
//
//	report, err := sparsoak.Run(ctx, sparsoak.Plan{Program: path, Seed: 7, For: 20 * time.Second})
//	for _, v := range report.Broken {
//		fmt.Println(v.Rule, v.Text)
//	}
//
// An invariant with a time bound is checked only on parties that had no fault for a
// while. A run signals only processes that it started.
package sparsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
)

const (
	// Force is the time within which settings must be in force on all VMs, and a draining
	// upstream must stop receiving new flows.
	Force = 3 * time.Second
	// stableTime is how long a party must have had no fault for a time bound to apply.
	stableTime = 4 * time.Second
	// recoveryTime is the time after the last fault within which service must recover.
	recoveryTime = 10 * time.Second
	// measureTime is how long service is measured after recoveryTime.
	measureTime = 4 * time.Second
	// minServed is the fraction of requests that must be served during measureTime.
	minServed = 0.95
	// stallTime is a scheduling delay of this process that counts as a fault of the whole
	// machine.
	stallTime = 300 * time.Millisecond
)

type (
	// Plan is the configuration of a run.
	Plan struct {
		Program   string        // path of the entry VM binary
		Seed      uint64        // of the faults and the clients
		For       time.Duration // how long faults are injected
		VMs       int           // default 6
		Upstreams int           // of the service booking, default 6
		Users     int           // concurrent users that open flows, default 24
		Restores  bool          // the store is also restored from older copies
		Cold      bool          // other faults are rarer, so that VMs use upstreams that come back cold
		Overload  bool          // other faults are rarer, and a further service has more demand than slots by turns
		Odd       bool          // another writer replaces entries of upstreams
		Keep      string        // directory for the logs of the VMs, empty for none
		Progress  func(line string)
	}

	// Violation is a case in which an invariant did not hold.
	Violation struct {
		Rule string  `json:"rule"`
		At   float64 `json:"at"` // seconds since the start of the run
		Text string  `json:"text"`
	}

	// Report is the outcome of a run.
	Report struct {
		Seed      uint64      `json:"seed"`
		Requests  int         `json:"requests"`
		Served    int         `json:"served"`
		Resets    int         `json:"resets"`
		Timeouts  int         `json:"timeouts"`
		Ran       int         `json:"ran"`
		Openings  int         `json:"openings"`
		Elsewhere int         `json:"elsewhere"` // openings while an evacuation had to be in force
		Cold      int         `json:"cold"`      // openings at upstreams that warmed up
		Unheld    int         `json:"unheld"`    // warm-ups whose limit was exceeded by VMs that could not know of them
		Orders    int         `json:"orders"`    // requests of the service with overloads
		Refused   int         `json:"refused"`   // of these
		Calls     int         `json:"calls"`     // of the VMs to the store
		Words     int         `json:"words"`     // status replies that were checked
		Faults    []string    `json:"faults"`
		Broken    []Violation `json:"broken"`
	}
)

// Run executes one plan. An error means that the run itself could not be set up.
func Run(ctx context.Context, p Plan) (report Report, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "soak, seed %d", p.Seed)
		}
	}()
	p = p.withDefaults()
	t, err := newTestbed(p)
	if err != nil {
		return Report{}, err
	}
	defer t.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { t.fabric.probe(ctx) })
	wg.Go(func() { t.watchStalls(ctx) })
	wg.Go(func() { t.heartbeats(ctx) })
	if err := t.waitReady(ctx); err != nil {
		return Report{}, err
	}
	for n := range p.Users {
		wg.Go(func() { t.user(ctx, n) })
	}
	wg.Go(func() { t.checkRoutes(ctx) })
	wg.Go(func() { t.checkStatuses(ctx) })
	endOverloads := t.startOverloads(ctx, &wg)
	t.injectWithEvacuations(ctx)
	endOverloads()
	ended, cold := t.checker.snapshot(), t.addLastCold()
	sleep(ctx, recoveryTime)
	before := t.checker.snapshot()
	sleep(ctx, measureTime)
	t.checker.checkRecovery(before)
	t.checker.checkStarved(cold, ended)
	if p.Overload {
		t.checker.checkOverloads()
	}
	report = t.checker.snapshot()
	report.Seed, report.Calls = p.Seed, t.store.Calls()
	return report, nil
}

func (p Plan) withDefaults() Plan {
	for _, f := range []struct {
		value *int
		def   int
	}{{&p.VMs, 6}, {&p.Upstreams, 6}, {&p.Users, 24}} {
		if *f.value == 0 {
			*f.value = f.def
		}
	}
	if p.Progress == nil {
		p.Progress = func(string) {}
	}
	return p
}

// Text returns a summary line, followed by one line for each violation.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d of %d requests served, %d resets, %d timeouts, %d openings, %d beside an evacuation in force, %d at cold upstreams, %d warm-ups not held, %d words of status, %d faults, %d broken promises\n",
		r.Seed, r.Served, r.Requests, r.Resets, r.Timeouts, r.Openings, r.Elsewhere, r.Cold, r.Unheld, r.Words, len(r.Faults), len(r.Broken))
	for _, v := range r.Broken {
		fmt.Fprintf(&b, "  %7.3f %s: %s\n", v.At, v.Rule, v.Text)
	}
	return b.String()
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// watchStalls detects scheduling delays of this process.
func (t *testbed) watchStalls(ctx context.Context) {
	const every = 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, every)
		if now := time.Now(); now.Sub(last) > every+stallTime {
			t.reportFault("the machine stalled for %v", now.Sub(last).Round(time.Millisecond))
			t.faultLog.recordAll()
			last = now
		} else {
			last = now
		}
	}
}

// random is a random source for use by several goroutines.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRand(seed, stream uint64) *random { return &random{rng: rand.New(rand.NewPCG(seed, stream))} }

// intN returns a number from 0 to n-1.
func (r *random) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// between returns a random duration from a to b, in whole milliseconds.
func (r *random) between(a, b time.Duration) time.Duration {
	return a + time.Duration(r.intN(int((b-a)/time.Millisecond)+1))*time.Millisecond
}

// logDir creates and returns the directory for logs, if the plan has one.
func (p Plan) logDir() (dir string, err error) {
	if p.Keep == "" {
		return "", nil
	}
	dir = fmt.Sprintf("%s/seed-%d", p.Keep, p.Seed)
	return dir, os.MkdirAll(dir, 0o755)
}
