package sparsoak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	patience    = 2 * time.Second
	testEvery   = 100 * time.Millisecond
	maxRequests = 12 // on one flow
)

// user opens flows and uses each until it ends.
func (w *world) user(ctx context.Context, n int) {
	d := newDice(w.plan.Seed, uint64(100+n))
	caller := w.callers[n%len(w.callers)]
	for serial := 0; ctx.Err() == nil; serial++ {
		route := []sparflow.Endpoint{watchRoute, watchRoute, holdRoute, sheetRoute}[d.upTo(4)]
		w.checks.count(func(r *Report) { r.Requests++ })
		f, err := caller.Open(route)
		if err != nil {
			w.failed(err)
			sleep(ctx, d.between(10*time.Millisecond, 100*time.Millisecond))
			continue
		}
		w.use(ctx, d, f, fmt.Sprintf("%d-%d", n, serial))
	}
}

// use sends requests on one flow. The first was counted with its opening.
func (w *world) use(ctx context.Context, d *dice, f *sparfake.Flow, name string) {
	_, route := f.Name()
	for k := range 1 + d.upTo(maxRequests) {
		if k > 0 {
			w.checks.count(func(r *Report) { r.Requests++ })
		}
		request := fmt.Sprintf("%s-%d", name, k)
		answer, err := f.Ask(request, patience)
		switch {
		case errors.Is(err, sparfake.ErrClosed):
			w.checks.count(func(r *Report) { r.Requests-- }) // not sent
			f.Close()
			return
		case errors.Is(err, sparfake.ErrReset):
			w.checks.reset(f)
			return
		case err != nil:
			w.failed(err)
			f.Close()
			return
		}
		w.checks.answered(route, request, answer)
		sleep(ctx, d.between(5*time.Millisecond, 300*time.Millisecond))
	}
	f.Close()
}

func (w *world) failed(err error) {
	w.checks.count(func(r *Report) {
		if errors.Is(err, sparfake.ErrTimeout) {
			r.Timeouts++
		} else {
			r.Resets++
		}
	})
}

// operator is the writer of routes.
type operator struct {
	mu      sync.Mutex
	version uint64
	routes  []sparfake.Route
	extra   uint16
	changed map[sparflow.Endpoint]change
}

// change is a route that came or went.
type change struct {
	at   time.Time // the store's acknowledgement
	here bool
}

// publish writes the routes as they stand.
func (w *world) publish() {
	o := &w.operator
	o.version += 1 + uint64(w.dice.upTo(3))
	w.store.Put(sparfake.RoutingKey, sparfake.Routing(o.version, o.routes))
}

// changeRoutes adds a route, or takes one of those away that were added.
func (w *world) changeRoutes() {
	o := &w.operator
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = map[sparflow.Endpoint]change{}
	}
	at, here := sparflow.MakeEndpoint(0xc6120001, extraRoute+o.extra), true
	if extras := o.routes[3:]; len(extras) > 0 && w.dice.upTo(2) == 0 {
		gone := w.dice.upTo(len(extras))
		at, here = extras[gone].At, false
		o.routes = append(o.routes[:3+gone:3+gone], extras[gone+1:]...)
	} else {
		o.extra++
		o.routes = append(o.routes, sparfake.Route{At: at, Service: booking})
	}
	w.publish()
	o.changed[at] = change{at: time.Now(), here: here}
}

// tester opens flows to routes that came or went, through one VM after the other.
func (w *world) tester(ctx context.Context) {
	d := newDice(w.plan.Seed, 2)
	for ctx.Err() == nil {
		sleep(ctx, testEvery)
		w.operator.mu.Lock()
		due := map[sparflow.Endpoint]change{}
		for at, c := range w.operator.changed {
			if time.Since(c.at) > Force {
				due[at] = c
			}
		}
		w.operator.mu.Unlock()
		for at, c := range due {
			w.test(w.vms[d.upTo(len(w.vms))], at, c)
			break
		}
	}
}

// test checks that one VM acts on a change. The opening is in force at its first
// packet, so the change must not be overtaken meanwhile.
func (w *world) test(v *vm, at sparflow.Endpoint, c change) {
	f, err := w.testers[v].Open(at)
	if f != nil {
		f.Close()
	}
	w.operator.mu.Lock()
	same := w.operator.changed[at] == c
	w.operator.mu.Unlock()
	if !same || !w.trouble.calmFor(calm+patience, v.name, storeParty) {
		return
	}
	switch {
	case c.here && errors.Is(err, sparfake.ErrReset):
		w.checks.broken("CONFIG", "%s refuses route %s, in force for %v", v.name, at, time.Since(c.at).Round(time.Millisecond))
	case !c.here && err == nil:
		w.checks.broken("CONFIG", "%s serves route %s, dropped for %v", v.name, at, time.Since(c.at).Round(time.Millisecond))
	}
}
