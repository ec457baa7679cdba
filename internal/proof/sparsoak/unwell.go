package sparsoak

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	minBetweenUnwell = time.Second
	maxBetweenUnwell = 3 * time.Second
	minUnwell        = 500 * time.Millisecond
	maxUnwell        = 2500 * time.Millisecond
	// slowTime is what a request takes at a slow upstream.
	slowTime = 700 * time.Millisecond
	// surgeUsers is how many more users come at once.
	surgeUsers = 48
)

// injectUnwell makes upstreams mute or slow, silences all upstreams of a failure domain, or lets
// many users come, one after the other until ctx ends. Its random numbers are its own, so that the
// other faults of a seed stay the same.
func (t *testbed) injectUnwell(ctx context.Context) {
	rng := newRand(t.plan.Seed, 6)
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, t.calm(rng.between(minBetweenUnwell, maxBetweenUnwell)))
		d := rng.between(minUnwell, maxUnwell)
		list := t.live(booking)
		one := list[rng.intN(len(list)):][:1]
		switch rng.intN(4) {
		case 0:
			t.unwell(ctx, "mute", one, d, (*sparfake.Server).SetMute)
		case 1:
			t.unwell(ctx, "slow", one, d, func(s *sparfake.Server, on bool) {
				if on {
					s.SetWorkTime(slowTime)
					return
				}
				s.SetWorkTime(workTime)
			})
		case 2:
			t.unwell(ctx, "silent with its failure domain", t.domainOf(one[0].Zone), d, (*sparfake.Server).SetSilent)
		case 3:
			t.surge(ctx, n, d)
		}
	}
}

// unwell changes upstreams for a while.
func (t *testbed) unwell(ctx context.Context, what string, servers []*sparfake.Server, d time.Duration, set func(s *sparfake.Server, on bool)) {
	for _, s := range servers {
		defer t.faultLog.begin(s.At.String())()
		t.reportFault("upstream %x is %s for %v", s.ID, what, d)
		set(s, true)
		defer set(s, false)
	}
	sleep(ctx, d)
}

// domainOf returns the upstreams in a failure domain.
func (t *testbed) domainOf(domain string) (servers []*sparfake.Server) {
	for _, service := range []string{booking, receipts} {
		for _, s := range t.live(service) {
			if s.Zone == domain {
				servers = append(servers, s)
			}
		}
	}
	return servers
}

// surge lets more users come for a while. n tells the surges of a run apart.
func (t *testbed) surge(ctx context.Context, n int, d time.Duration) {
	t.reportFault("%d more users for %v", surgeUsers, d)
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg conc.WaitGroup
	defer wg.Wait()
	for user := range surgeUsers {
		wg.Go(func() { t.user(ctx, 1000*(n+1)+user) })
	}
}
