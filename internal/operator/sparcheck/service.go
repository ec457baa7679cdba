package sparcheck

import (
	"slices"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

func (d service) check(r *Report) {
	const where = "service"
	switch {
	case len(d.Upstreams) == 0:
		r.add(Warning, where, "no upstreams, new flows are refused")
	case !slices.ContainsFunc(d.Upstreams, sparconfig.Upstream.AcceptsFlows):
		r.add(Warning, where, "all upstreams drain, new flows are refused")
	}
	if d.Proto == sparflow.TCP && d.written.Idle > 0 {
		r.add(Warning, where, "idle has no effect, it is for udp")
	}
	if d.Proto == sparflow.UDP && d.written.Silent > 0 {
		r.add(Warning, where, "silent has no effect, it is for tcp")
	}
	d.checkUpstreams(r)
}

func (d service) checkUpstreams(r *Report) {
	placed := slices.ContainsFunc(d.Upstreams, func(u sparconfig.Upstream) bool { return u.Domain != "" })
	for i, u := range d.Upstreams {
		where := "upstream " + u.At.String()
		if placed && u.Domain == "" {
			r.add(Warning, where, "names no failure domain, so no evacuation concerns it")
		}
		if m := d.written.Upstreams[i]; m.Until > 0 && !u.Draining {
			r.add(Warning, where, "until has no effect, it is for the state drain")
		}
	}
}

// compare adds what differs from the document in force.
func (d service) compare(before service, r *Report) {
	const where = "service"
	changed(r, where, "address", before.Address, d.Address)
	changed(r, where, "proto", before.Proto, d.Proto)
	changed(r, where, "spread", before.Spread, d.Spread)
	changed(r, where, "drain", before.Drain, d.Drain)
	changed(r, where, "silent", before.Silent, d.Silent)
	changed(r, where, "idle", before.Idle, d.Idle)
	changed(r, where, "warm", before.Warm, d.Warm)
	for _, u := range d.Upstreams {
		where := "upstream " + u.At.String()
		old, ok := before.Upstream(u.At)
		if !ok {
			r.add(Change, where, "added")
			continue
		}
		changed(r, where, "domain", old.Domain, u.Domain)
		changed(r, where, "state", stateOf(old), stateOf(u))
		if old.Draining && u.Draining {
			changed(r, where, "until", old.Until.Unix(), u.Until.Unix())
		}
	}
	for _, u := range before.Upstreams {
		if _, ok := d.Upstream(u.At); !ok {
			r.add(Change, "upstream "+u.At.String(), "removed, its open flows end")
		}
	}
}

func stateOf(u sparconfig.Upstream) string {
	if u.Draining {
		return sparconfig.Drain
	}
	return sparconfig.Serve
}
