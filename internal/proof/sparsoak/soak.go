// Package sparsoak runs entry VMs as processes on loopback and harms them from outside,
// by a seed, while it checks what callers and upstreams see.
//
// VMs are the real program. The platform's store, the fabric, callers and upstreams are
// stand-ins in this process; between each VM and the store stands a proxy. Signals,
// restarts, settings and faults come in series and overlap:
//
//	report, err := sparsoak.Run(ctx, sparsoak.Plan{Program: path, Seed: 7, For: 20 * time.Second})
//	for _, b := range report.Broken {
//		fmt.Println(b.Rule, b.Text)
//	}
//
// A promise with a time bound is held against parties that were left alone for a
// while. It ends only processes that it started.
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
	// Force is the time within which settings must be in force everywhere, and a
	// draining upstream must get no openings any more.
	Force = 3 * time.Second
	// calm is how long a party must have been left alone for a bound to hold.
	calm = 4 * time.Second
	// recovery is the time after the last fault within which service must be back.
	recovery = 10 * time.Second
	// tail is how long service is measured after that.
	tail = 4 * time.Second
	// leastServed is the share of requests that must be served then.
	leastServed = 0.95
	// stall is a delay of this process that counts as a fault of the whole machine.
	stall = 300 * time.Millisecond
)

type (
	// Plan says what to run.
	Plan struct {
		Program   string        // of an entry VM
		Seed      uint64        // of faults and callers
		For       time.Duration // how long faults go on
		VMs       int           // default 6
		Upstreams int           // of the larger service, default 6
		Users     int           // default 24
		Keep      string        // directory for the logs of VMs, "" for none
		Progress  func(line string)
	}

	// Break is a promise that was not kept.
	Break struct {
		Rule string  `json:"rule"`
		At   float64 `json:"at"` // seconds from the start
		Text string  `json:"text"`
	}

	// Report is what a run saw.
	Report struct {
		Seed     uint64   `json:"seed"`
		Requests int      `json:"requests"`
		Served   int      `json:"served"`
		Resets   int      `json:"resets"`
		Timeouts int      `json:"timeouts"`
		Ran      int      `json:"ran"`
		Openings int      `json:"openings"`
		Calls    int      `json:"calls"` // to the store
		Words    int      `json:"words"` // of status that were checked
		Faults   []string `json:"faults"`
		Broken   []Break  `json:"broken"`
	}
)

// Run plays one plan. The error says that the run itself could not be made.
func Run(ctx context.Context, p Plan) (report Report, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "soak, seed %d", p.Seed)
		}
	}()
	p = p.withDefaults()
	w, err := newWorld(p)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { w.fabric.probe(ctx) })
	wg.Go(func() { w.watchStalls(ctx) })
	if err := w.settleIn(ctx); err != nil {
		return Report{}, err
	}
	for n := range p.Users {
		wg.Go(func() { w.user(ctx, n) })
	}
	wg.Go(func() { w.tester(ctx) })
	wg.Go(func() { w.statusAsker(ctx) })
	w.harm(ctx)
	w.heal()
	sleep(ctx, recovery)
	before := w.checks.snapshot()
	sleep(ctx, tail)
	w.checks.recovered(before)
	report = w.checks.snapshot()
	report.Seed, report.Calls = p.Seed, w.store.Calls()
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

// Text returns the report as lines.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d of %d requests served, %d resets, %d timeouts, %d openings, %d words of status, %d faults, %d broken promises\n",
		r.Seed, r.Served, r.Requests, r.Resets, r.Timeouts, r.Openings, r.Words, len(r.Faults), len(r.Broken))
	for _, one := range r.Broken {
		fmt.Fprintf(&b, "  %7.3f %s: %s\n", one.At, one.Rule, one.Text)
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

// watchStalls notices when this process itself was held up.
func (w *world) watchStalls(ctx context.Context) {
	const every = 50 * time.Millisecond
	for last := time.Now(); ctx.Err() == nil; {
		sleep(ctx, every)
		if now := time.Now(); now.Sub(last) > every+stall {
			w.note("the machine stalled for %v", now.Sub(last).Round(time.Millisecond))
			w.trouble.touchAll()
			last = now
		} else {
			last = now
		}
	}
}

// dice is a source of randomness for several goroutines.
type dice struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newDice(seed, stream uint64) *dice { return &dice{r: rand.New(rand.NewPCG(seed, stream))} }

// upTo returns 0 to n-1.
func (d *dice) upTo(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

// between returns a time between two.
func (d *dice) between(a, b time.Duration) time.Duration {
	return a + time.Duration(d.upTo(int((b-a)/time.Millisecond)+1))*time.Millisecond
}

// logDir returns the directory for logs, made where it is wanted.
func (p Plan) logDir() (dir string, err error) {
	if p.Keep == "" {
		return "", nil
	}
	dir = fmt.Sprintf("%s/seed-%d", p.Keep, p.Seed)
	return dir, os.MkdirAll(dir, 0o755)
}
