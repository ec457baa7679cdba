package sparcookie

import (
	"math"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparquota"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

type (
	// warmLimits bounds the openings of upstreams that warm up, over all VMs: see
	// docs/design/warmup.md. Without a lease there are no limits.
	warmLimits struct {
		limit sparconfig.WarmLimit       // of the settings file
		lease *sparquota.Lease           // nil if there are no limits
		wait  time.Duration              // until all VMs with fresh settings know a change
		beat  time.Duration              // between two heartbeats of an upstream to the platform
		rates map[string]*sparquota.Rate // limits by service

		ranking uint64 // rises when ranks may change
	}

	// warmQuota is the part of this VM in the limit of one upstream.
	warmQuota struct {
		window sparquota.Window
		rate   *sparquota.Rate // limit of its service
		domain string          // of the upstream, which the rank depends on
		from   time.Duration   // when all VMs know the domain
		rank   int
		ranked uint64        // warmLimits.ranking that the rank belongs to
		back   time.Duration // when it answered again after a failure, 0 if it never did
		holder bool          // as announced last
	}

	// WarmHolder reports that this VM has become a holder of the quota of an upstream that warms
	// up, or has ceased to be one.
	WarmHolder struct {
		Upstream sparroster.Upstream
		Holder   bool
		Part     int // openings in a second that this VM may send
	}
)

func (WarmHolder) event() {}

// SetWarmLimit limits the openings that upstreams get during their warm-up, over all VMs.
// Settings are fresh up to the age of maxAge, which all VMs have in common. Upstreams write
// their entries each beat. It must precede the first Apply.
func (e *Engine) SetWarmLimit(limit sparconfig.WarmLimit, maxAge, beat time.Duration) {
	e.warm = warmLimits{
		limit: limit, lease: sparquota.NewLease(e.name, maxAge), wait: sparquota.Wait(maxAge), beat: beat,
		rates: map[string]*sparquota.Rate{},
	}
}

// RenewWarm sets the age that the settings had at the time now.
func (e *Engine) RenewWarm(now, age time.Duration) {
	if e.warm.lease != nil {
		e.warm.lease.Renew(now, age)
	}
}

// applyWarm puts the limits of a roster in force.
func (e *Engine) applyWarm(r sparroster.Roster) {
	if e.warm.lease == nil {
		return
	}
	members := make([]sparquota.Member, len(r.VMs))
	for i, vm := range r.VMs {
		members[i] = sparquota.Member{Name: vm.Name, Domain: vm.Domain}
	}
	at, listed := r.VMEntryAt(e.name)
	e.warm.lease.List(e.now, members, sparquota.Entry{Listed: listed && at.Era == r.At.Era, At: at, Era: r.At.Era})
	e.applyWarmRates(r.Routing)
	for _, entry := range r.Upstreams {
		e.applyQuota(e.upstreams[entry.ID])
	}
	e.warm.ranking++
}

// applyWarmRates sets the limit of each service that has a warm rate, or had one.
func (e *Engine) applyWarmRates(routing sparroster.Routing) {
	limits := map[string]float64{}
	for _, s := range routing.Services {
		if s.WarmRate > 0 {
			limits[s.Name] = sparquota.Limit(s.WarmRate, e.warm.limit.Overage, e.warm.limit.Slack)
		}
	}
	for name, limit := range limits {
		if e.warm.rates[name] == nil {
			e.warm.rates[name] = &sparquota.Rate{}
		}
		e.warm.rates[name].Set(e.now, e.warm.wait, limit)
	}
	for name, rate := range e.warm.rates {
		if _, ok := limits[name]; ok {
			continue
		}
		rate.Set(e.now, e.warm.wait, math.Inf(1))
		if math.IsInf(rate.Value(e.now), 1) {
			delete(e.warm.rates, name)
		}
	}
}

// applyQuota keeps the quota of an upstream whose service has a warm rate, or had one.
func (e *Engine) applyQuota(u *upstream) {
	rate := e.warm.rates[u.Service]
	switch {
	case rate == nil:
		u.quota = nil // of an earlier limit, or of the service that it had under this ID
		return
	case u.quota == nil:
		u.quota = &warmQuota{domain: u.Domain}
	case u.quota.domain != u.Domain:
		u.quota.domain, u.quota.from = u.Domain, e.now+e.warm.wait
	}
	u.quota.rate = rate
}

// rankOf returns the rank of this VM for u, which has a quota.
func (e *Engine) rankOf(u *upstream) int {
	q := u.quota
	if q.ranked != e.warm.ranking {
		q.rank, q.ranked = e.warm.lease.Rank(u.ID, q.domain), e.warm.ranking
	}
	return q.rank
}

// tickWarm ranks this VM anew once a VM that was removed no longer counts, and emits an event for each
// upstream of which this VM has become a holder or has ceased to be one.
func (e *Engine) tickWarm() {
	if e.warm.lease == nil {
		return
	}
	if e.warm.lease.Expire(e.now) {
		e.warm.ranking++
	}
	for _, u := range e.upstreams {
		if u.quota == nil {
			continue
		}
		limited := e.limited(u) && !u.removed
		part := 0
		if limited {
			part = e.part(u)
		}
		if holder := part > 0; holder != u.quota.holder {
			u.quota.holder = holder
			e.emit(WarmHolder{Upstream: u.Upstream, Holder: holder, Part: part})
		}
	}
}

// limited reports whether u warms up and its openings are limited.
func (e *Engine) limited(u *upstream) bool {
	return u.quota != nil && e.now < u.warmUntil && !math.IsInf(u.quota.rate.Value(e.now), 1)
}

// part returns how many openings in a second this VM may send to u, which is limited.
func (e *Engine) part(u *upstream) int {
	if !e.warm.lease.Active(e.now) || e.now < u.quota.from {
		return 0
	}
	return sparquota.Part(u.quota.rate.Value(e.now), e.rankOf(u))
}

// outOfQuota reports whether u warms up and may get no opening from this VM now.
func (e *Engine) outOfQuota(u *upstream) bool {
	return e.limited(u) && u.quota.window.Count(e.now) >= e.part(u)
}

// chargeOpening counts a SYN that is sent to the upstream of f. The first request of the flow
// then counts with it.
func (e *Engine) chargeOpening(f *flow) {
	f.charged = e.chargeSYN(f.upstream)
}

// chargeSYN counts a SYN that is sent to u. It reports whether u has a quota.
func (e *Engine) chargeSYN(u *upstream) bool {
	if u.quota == nil {
		return false
	}
	u.quota.window.Add(e.now) // also before it warms up: it may restart within the second
	if e.limited(u) {
		e.stats.WarmOpenings++
	}
	return true
}

// chargeRequest counts a request on an open flow.
func (e *Engine) chargeRequest(f *flow) {
	if f.charged {
		f.charged = false
		return
	}
	if u := f.upstream; u.quota != nil {
		u.quota.window.Add(e.now)
	}
}

// repeatSYN sends a retransmitted SYN to the same upstream, which then gets one opening more.
func (e *Engine) repeatSYN(f *flow) Verdict {
	e.chargeOpening(f)
	return e.send(Repeated, f.upstream)
}

// refuseSYN returns the verdict on a SYN that no upstream takes.
func (e *Engine) refuseSYN(rec *routeRecord) Verdict {
	for _, t := range rec.route.Targets {
		if t.Weight > 0 && e.lacksQuota(e.pools[t.Service]) {
			e.stats.WarmRefusals++
			return e.reset(WarmLimit, nil)
		}
	}
	return e.reset(NoUpstream, nil)
}

// lacksQuota reports whether an upstream of p takes no flow only because of its limit.
func (e *Engine) lacksQuota(p *pool) bool {
	if p == nil {
		return false
	}
	for _, u := range p.all {
		if e.takesFlows(u) && e.outOfQuota(u) {
			return true
		}
	}
	return false
}

// dropWarmSYN drops a retransmitted SYN that no upstream takes because of the limits. It is not
// reset: the first SYN may yet open the flow.
func (e *Engine) dropWarmSYN() Verdict {
	e.stats.WarmRefusals++
	return e.drop(WarmLimit)
}

// warmingCapacity returns the part of its capacity that u has for this VM during its warm-up. If
// its openings are limited, only its holders send any, each the share of other VMs as well.
func (e *Engine) warmingCapacity(u *upstream) float64 {
	if !e.limited(u) {
		return warmingShare
	}
	return warmingShare * max(1, float64(e.domainVMs)/sparquota.Holders)
}
