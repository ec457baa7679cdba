package sparsoak

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	// The limit of an upstream that warms up: few openings, so that VMs which ignore it or each other
	// exceed it.
	warmRate    = 2 // requests a second
	warmOverage = 1.5
	warmSlack   = 1
	warmLimit   = int(warmRate*warmOverage) + warmSlack

	minBetweenReturns = time.Second
	maxBetweenReturns = 4 * time.Second
	minDown           = 300 * time.Millisecond
	maxDown           = 2500 * time.Millisecond
	// A warm-up is longer than VMs wait before they use an upstream that warms up.
	minWarm = 5 * time.Second
	maxWarm = 8 * time.Second
	// heartbeat is how often an upstream that warms up writes its entry.
	heartbeat = time.Second
	// visitors open flows for one request each while upstreams warm up.
	visitors = 8

	// maxAway is how long a VM is gone at most.
	maxAway = 6 * time.Second
	// A closed socket may stay in use while a process starts that has inherited it.
	socketTries = 50
	socketWait  = 20 * time.Millisecond
	// calmFactor makes other faults rarer in a run of cold returns: a VM uses upstreams that warm up
	// only if nothing has disturbed it for some seconds.
	calmFactor = 5
	// coldBound is the time within which settings must be in force in such a run: the shorter it is, the
	// sooner a VM uses upstreams that warm up.
	coldBound = 1500 * time.Millisecond
)

// returns lets upstreams stop and come back cold until ctx ends.
func (t *testbed) returns(ctx context.Context) {
	rng := newRand(t.plan.Seed, 7)
	var wg conc.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, rng.between(minBetweenReturns, maxBetweenReturns))
		servers := t.returning(rng)
		down, warm, again := rng.between(minDown, maxDown), rng.between(minWarm, maxWarm), rng.intN(2) == 0
		if ctx.Err() != nil {
			return
		}
		for _, s := range servers {
			lapse := rng.between(0, lapseTime)
			wg.Go(func() { t.coldReturn(ctx, s, down, warm, lapse, again) })
		}
		for visitor := range visitors * min(len(servers), 1) {
			wg.Go(func() { t.visit(ctx, n*visitors+visitor, down+warm) })
		}
	}
}

// returning claims upstreams that are to come back cold: one, or all of a failure domain if the
// others have enough that are warm.
func (t *testbed) returning(rng *random) (servers []*sparfake.Server) {
	list := t.live([]string{booking, booking, receipts}[rng.intN(3)])
	one := list[rng.intN(len(list))]
	candidates := []*sparfake.Server{one}
	if rng.intN(2) == 0 {
		candidates = t.domainOf(one.Zone)
	}
	if !t.canSpare(one.Zone) || t.evacuatedFor(otherZone(one.Zone)) > 0 {
		return nil
	}
	for _, s := range candidates {
		if !t.checker.isCold(s) && t.claim(s) {
			servers = append(servers, s)
		}
	}
	return servers
}

// coldReturn stops an upstream, and starts it again at the same address and cold, under its ID or
// another. The entry of its former ID lapses later.
func (t *testbed) coldReturn(ctx context.Context, s *sparfake.Server, down, warm, lapse time.Duration, again bool) {
	end := t.faultLog.begin(s.At.String())
	t.reportFault("upstream %x of %s in %s is down for %v, then cold for %v, same ID: %t", s.ID, s.Service, s.Zone, down, warm, again)
	s.SetSilent(true)
	sleep(ctx, down)
	next, err := t.replace(s, warm, again)
	end()
	if err != nil {
		t.reportFault("no upstream in place of %x: %v", s.ID, err)
		return
	}
	t.reportFault("upstream %x is back as %x", s.ID, next.ID)
	if !again {
		time.AfterFunc(lapse, t.removeLapsed)
	}
}

// heartbeats has upstreams that warm up write their entries.
func (t *testbed) heartbeats(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, heartbeat) {
		for _, s := range t.running() {
			if t.checker.isCold(s) {
				t.registerAgain(s)
			}
		}
	}
}

// replace starts an upstream at the address of another one, which ends.
func (t *testbed) replace(s *sparfake.Server, warm time.Duration, again bool) (next *sparfake.Server, err error) {
	t.mu.Lock()
	id := s.ID
	if !again {
		t.nextID++
		id = t.nextID<<8 | t.plan.Seed&0xff
	}
	delete(t.servers, s.ID)
	delete(t.ending, s.ID)
	t.mu.Unlock()
	s.Close()
	for range socketTries {
		t.mu.Lock()
		next, err = t.startServer(id, s.Service, s.Zone, addrPort(s.At), warm, again)
		t.mu.Unlock()
		if err == nil {
			return next, nil
		}
		time.Sleep(socketWait)
	}
	return nil, err
}

// visit opens flows for one request each.
func (t *testbed) visit(ctx context.Context, n int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	rng := newRand(t.plan.Seed, uint64(1_000_000+n))
	client := t.clients[n%len(t.clients)]
	for serial := 0; ctx.Err() == nil; serial++ {
		route := []sparflow.Endpoint{repeatableRoute, onceRoute, receiptsRoute}[rng.intN(3)]
		t.checker.count(func(r *Report) { r.Requests++ })
		f, err := client.Open(route)
		if err != nil {
			t.countFailure(err)
		} else if t.sendRequest(f, fmt.Sprintf("visitor-%d-%d", n, serial)) {
			f.Close()
		}
		sleep(ctx, rng.between(5*time.Millisecond, 40*time.Millisecond))
	}
}

// absences kills VMs and removes their entries; each joins anew some time later. In a run of cold
// returns it kills several at once by turns, which lose what they know of the last second.
func (t *testbed) absences(ctx context.Context) {
	rng := newRand(t.plan.Seed, 8)
	for n := 1; ctx.Err() == nil; n++ {
		sleep(ctx, t.calm(rng.between(minBetweenReturns, maxBetweenReturns)/2))
		v, d := t.vms[rng.intN(len(t.vms))], rng.between(0, maxAway)
		switch {
		case ctx.Err() != nil:
		case t.plan.Cold && n%2 == 0:
			t.killMany(rng)
		default:
			t.absent(ctx, v, d)
		}
	}
}

// killMany kills half of the VMs, which start again.
func (t *testbed) killMany(rng *random) {
	first := rng.intN(len(t.vms))
	var wg conc.WaitGroup
	defer wg.Wait()
	for n := range len(t.vms) / 2 {
		v := t.vms[(first+n)%len(t.vms)]
		wg.Go(func() {
			defer t.faultLog.begin(v.name)()
			t.reportFault("SIGKILL %s", v.name)
			v.restart(syscall.SIGKILL)
		})
	}
}

func (t *testbed) absent(ctx context.Context, v *vm, d time.Duration) {
	defer t.faultLog.begin(v.name)()
	t.reportFault("%s is gone for %v", v.name, d)
	v.restartAfter(func() {
		t.store.Remove(vmPrefix + v.name)
		sleep(ctx, d)
	})
}

// bound returns the time within which evacuations, and other settings with them, come into force.
func (p Plan) bound() time.Duration {
	if p.Cold {
		return coldBound
	}
	return Force
}

// calm returns the time between two faults.
func (t *testbed) calm(d time.Duration) time.Duration {
	if t.plan.Cold || t.plan.Overload {
		return calmFactor * d
	}
	return d
}

func otherZone(zone string) string {
	if zone == zoneOf(0) {
		return zoneOf(1)
	}
	return zoneOf(0)
}

func addrPort(e sparflow.Endpoint) netip.AddrPort { return netip.MustParseAddrPort(e.String()) }
