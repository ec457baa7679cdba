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
	responseTimeout = 2 * time.Second
	routeCheckEvery = 100 * time.Millisecond
	maxRequests     = 12 // on each flow
)

// user opens flows one after the other and sends requests on each.
func (t *testbed) user(ctx context.Context, n int) {
	rng := newRand(t.plan.Seed, uint64(100+n))
	client := t.clients[n%len(t.clients)]
	for serial := 0; ctx.Err() == nil; serial++ {
		route := []sparflow.Endpoint{repeatableRoute, repeatableRoute, onceRoute, receiptsRoute}[rng.intN(4)]
		t.checker.count(func(r *Report) { r.Requests++ })
		f, err := client.Open(route)
		if err != nil {
			t.countFailure(err)
			sleep(ctx, rng.between(10*time.Millisecond, 100*time.Millisecond))
			continue
		}
		t.sendRequests(ctx, rng, f, fmt.Sprintf("%d-%d", n, serial))
	}
}

// sendRequests sends requests on one flow. The caller has counted the first one when it
// opened the flow.
func (t *testbed) sendRequests(ctx context.Context, rng *random, f *sparfake.Flow, name string) {
	for k := range 1 + rng.intN(maxRequests) {
		if k > 0 {
			t.checker.count(func(r *Report) { r.Requests++ })
		}
		if !t.sendRequest(f, fmt.Sprintf("%s-%d", name, k)) {
			return
		}
		sleep(ctx, rng.between(5*time.Millisecond, 300*time.Millisecond))
	}
	f.Close()
}

// sendRequest sends one request on a flow. It reports whether a response came, otherwise the flow has
// ended.
func (t *testbed) sendRequest(f *sparfake.Flow, request string) bool {
	_, route := f.Ends()
	response, err := f.Do(request, responseTimeout)
	switch {
	case errors.Is(err, sparfake.ErrClosed):
		t.checker.count(func(r *Report) { r.Requests-- }) // the request was not sent
		f.Close()
	case errors.Is(err, sparfake.ErrReset):
		t.checker.checkReset(f)
	case err != nil:
		t.countFailure(err)
		f.Close()
	default:
		t.checker.checkResponse(route, request, response)
	}
	return err == nil
}

func (t *testbed) countFailure(err error) {
	t.checker.count(func(r *Report) {
		if errors.Is(err, sparfake.ErrTimeout) {
			r.Timeouts++
		} else {
			r.Resets++
		}
	})
}

// operator holds the routes that the testbed writes to the store.
type operator struct {
	mu      sync.Mutex
	version uint64
	routes  []sparfake.Route
	fixed   int    // routes that stay
	added   uint16 // number of routes added during the run
	changed map[sparflow.Endpoint]routeChange
}

// routeChange is the latest addition or removal of a route.
type routeChange struct {
	at      time.Time // when the store accepted it
	present bool      // added, not removed
}

// document returns the text of the routes and of what upstreams bear while they warm up.
func (o *operator) document() []byte {
	d := sparfake.Document{Version: o.version, Routes: o.routes}
	for _, service := range []string{booking, receipts} {
		d.Services = append(d.Services, sparfake.Service{Name: service, WarmRate: warmRate, WarmTime: maxWarm})
	}
	return d.Text()
}

// publish writes the current routes under a new version.
func (t *testbed) publish() {
	o := &t.operator
	o.version += 1 + uint64(t.rng.intN(3))
	t.store.Put(sparfake.RoutingKey, o.document())
}

// changeRoutes adds a route, or removes one that an earlier call added.
func (t *testbed) changeRoutes() {
	o := &t.operator
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = map[sparflow.Endpoint]routeChange{}
	}
	at, present := sparflow.MakeEndpoint(0xc6120001, extraPort+o.added), true
	if extras := o.routes[o.fixed:]; len(extras) > 0 && t.rng.intN(2) == 0 {
		removed := t.rng.intN(len(extras))
		at, present = extras[removed].At, false
		o.routes = append(o.routes[:o.fixed+removed:o.fixed+removed], extras[removed+1:]...)
	} else {
		o.added++
		o.routes = append(o.routes, sparfake.Route{At: at, Service: booking})
	}
	t.publish()
	o.changed[at] = routeChange{at: time.Now(), present: present}
}

// checkRoutes opens flows to changed routes, each through a random VM, once the change
// must be in force.
func (t *testbed) checkRoutes(ctx context.Context) {
	rng := newRand(t.plan.Seed, 2)
	for ctx.Err() == nil {
		sleep(ctx, routeCheckEvery)
		t.operator.mu.Lock()
		due := map[sparflow.Endpoint]routeChange{}
		for at, c := range t.operator.changed {
			if time.Since(c.at) > Force {
				due[at] = c
			}
		}
		t.operator.mu.Unlock()
		for at, c := range due {
			t.checkRoute(t.vms[rng.intN(len(t.vms))], at, c)
			break
		}
	}
}

// checkRoute checks that one VM has applied a change. The settings in force when the SYN
// arrives apply to the flow, so the result counts only if the route did not change meanwhile.
func (t *testbed) checkRoute(v *vm, at sparflow.Endpoint, c routeChange) {
	f, err := t.vmClients[v].Open(at)
	if f != nil {
		f.Close()
	}
	t.operator.mu.Lock()
	same := t.operator.changed[at] == c
	t.operator.mu.Unlock()
	if !same || !t.faultLog.stableFor(stableTime+responseTimeout, v.name, storeParty) {
		return
	}
	switch {
	case c.present && errors.Is(err, sparfake.ErrReset) && t.mayRefuse(booking):
	case c.present && errors.Is(err, sparfake.ErrReset):
		t.checker.violated("CONFIG", "%s refuses route %s, in force for %v", v.name, at, time.Since(c.at).Round(time.Millisecond))
	case !c.present && err == nil:
		t.checker.violated("CONFIG", "%s serves route %s, dropped for %v", v.name, at, time.Since(c.at).Round(time.Millisecond))
	}
}
