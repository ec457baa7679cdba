package sparsoak

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	orders         = "orders"
	orderUpstreams = 4
	orderSlots     = 2 // as the entry of an upstream says
	orderTime      = 25 * time.Millisecond
	orderObjective = 250 * time.Millisecond
	lessPriority   = 5
	// callers open flows of each kind at each VM during an overload: together several times the slots.
	callers = 7

	calmTime     = 5 * time.Second
	overloadTime = 5 * time.Second
	// settledAfter is how long after its start an overload counts, and after its end refusals may go on.
	settledAfter = 2 * time.Second
	retryAfter   = 100 * time.Millisecond
	// urgentMargin is how much smaller the part of urgent requests may be that come in time.
	urgentMargin = 0.1
	minCompared  = 200 // requests of each kind
)

var (
	urgentRoute = sparflow.MakeEndpoint(0xc6120003, 8443)
	lessRoute   = sparflow.MakeEndpoint(0xc6120003, 8080)
)

type (
	// overload is what the callers of the service orders have seen.
	overload struct {
		since, ended time.Time // of the latest one
		lasts        bool
		urgent, less tally
		refused      []string // requests
	}

	// tally counts the requests of a kind during overloads.
	tally struct {
		tried, inTime int
	}
)

func orderRoutes() []sparfake.Route {
	return []sparfake.Route{
		{At: urgentRoute, Service: orders, Objective: orderObjective},
		{At: lessRoute, Service: orders, Objective: orderObjective, Priority: lessPriority},
	}
}

// overloads lets callers come who want more than the slots of the service orders, by turns with few,
// until ctx ends and for a last calm time.
func (t *testbed) overloads(ctx, last context.Context) {
	for n := 0; ; n++ {
		t.call(last, n, 1, calmTime)
		if ctx.Err() != nil {
			return
		}
		t.reportFault("overload of %s for %v", orders, overloadTime)
		t.checker.setOverload(true)
		t.call(last, n, callers, overloadTime)
		t.checker.setOverload(false)
		t.reportFault("the overload of %s has ended", orders)
	}
}

// startOverloads starts the upstreams and callers of orders, if the plan has overloads. No overload
// begins after end is called.
func (t *testbed) startOverloads(ctx context.Context, wg *conc.WaitGroup) (end func()) {
	overloaded, end := context.WithCancel(ctx)
	if t.plan.Overload {
		wg.Go(func() { t.overloads(overloaded, ctx) })
	}
	return end
}

// call has n callers of each kind at each VM.
func (t *testbed) call(ctx context.Context, serial, n int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	for _, v := range t.vms {
		for caller := range 2 * n {
			route := []sparflow.Endpoint{urgentRoute, lessRoute}[caller%2]
			wg.Go(func() { t.caller(ctx, v, route, fmt.Sprintf("order-%d-%d-%s-%d", serial, n, v.name, caller), n == 1) })
		}
	}
}

// caller opens flows for one request each.
func (t *testbed) caller(ctx context.Context, v *vm, route sparflow.Endpoint, name string, calm bool) {
	for n := 0; ctx.Err() == nil; n++ {
		began, request := time.Now(), fmt.Sprintf("%s-%d", name, n)
		t.checker.count(func(r *Report) { r.Requests, r.Orders = r.Requests+1, r.Orders+1 })
		f, err := t.vmClients[v].Open(route)
		served := err == nil && t.sendRequest(f, request)
		if served {
			f.Close()
		}
		if errors.Is(err, sparfake.ErrReset) {
			t.checker.checkRefusal(v, request)
		}
		t.checker.addCall(v, route, began, served)
		if calm || err != nil {
			sleep(ctx, retryAfter)
		}
	}
}

func (c *checker) setOverload(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overload.lasts = on; on {
		c.overload.since = time.Now()
	} else {
		c.overload.ended = time.Now()
	}
}

// addCall counts a request of an overload that has lasted for a while, at a VM that is well.
func (c *checker) addCall(v *vm, route sparflow.Endpoint, began time.Time, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.overload
	if !o.lasts || began.Sub(o.since) < settledAfter || !c.testbed.faultLog.stable(v.name) {
		return
	}
	kind := &o.less
	if route == urgentRoute {
		kind = &o.urgent
	}
	kind.tried++
	if served && time.Since(began) <= orderObjective {
		kind.inTime++
	}
}

// checkRefusal checks a refusal of a VM: none some time after the end of an overload.
func (c *checker) checkRefusal(v *vm, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.overload
	c.report.Refused++
	o.refused = append(o.refused, request)
	if calm := time.Since(o.ended); !o.lasts && calm > settledAfter && c.testbed.faultLog.stable(v.name, storeParty) {
		c.addViolation("CALM", "%s refuses a flow %v after the overload", v.name, calm.Round(time.Millisecond))
	}
}

// checkOverloads checks, at the end of a run, that nothing refused has run, and that urgent requests
// fared no worse than the others while demand was above the slots.
func (c *checker) checkOverloads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := &c.overload
	for _, request := range o.refused {
		if id, ok := c.ran[request]; ok {
			c.addViolation("REFUSED", "request %s was refused and has run at upstream %x", request, id)
		}
	}
	c.trace("in time during overloads: %d of %d urgent requests, %d of %d others; %d refused", o.urgent.inTime, o.urgent.tried, o.less.inTime, o.less.tried, len(o.refused))
	if min(o.urgent.tried, o.less.tried) >= minCompared && o.urgent.part() < o.less.part()-urgentMargin {
		c.addViolation("URGENT", "%.2f of the urgent requests came in time, %.2f of the others", o.urgent.part(), o.less.part())
	}
}

// part returns the part of the requests that came in time.
func (t tally) part() float64 { return float64(t.inTime) / float64(max(t.tried, 1)) }
