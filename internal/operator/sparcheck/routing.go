package sparcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

func (d routing) check(r *Report) {
	for _, cause := range d.Refused {
		r.add(Error, "routes", "left out, %s", cause)
	}
	for _, p := range d.passedOver {
		r.add(Error, p.Where, "%s", p.Cause)
	}
	if len(d.Routes) == 0 {
		r.add(Warning, "routes", "none, new flows are refused everywhere")
	}
	for i, route := range d.Routes {
		if later := lastOf(d.Routes[i+1:], route.Address); later != nil {
			r.add(Warning, nameOf(route), "never matches, %s has the same address and comes later", nameOf(*later))
		}
		d.checkRoute(r, route)
	}
	for _, s := range d.Services {
		d.checkService(r, s)
	}
	if d.Idle > sparcookie.MaxFlowAge {
		r.add(Warning, "limits", "idle timeout %v is longer than the longest life of a flow, %v", d.Idle, sparcookie.MaxFlowAge)
	}
}

func (d routing) checkRoute(r *Report, route sparroster.Route) {
	where := nameOf(route)
	if !slices.ContainsFunc(route.Targets, func(t sparroster.Target) bool { return t.Weight > 0 }) {
		r.add(Warning, where, "takes no new flows, no target has a weight above 0")
	}
	for _, t := range route.Targets {
		if len(d.Services) > 0 && !slices.ContainsFunc(d.Services, func(s sparroster.Service) bool { return s.Name == t.Service }) {
			r.add(Warning, where, "its target %s is not among the services", t.Service)
		}
	}
	if route.Timeout > 0 && route.Target > route.Timeout {
		r.add(Warning, where, "clients give up after %v, before its latency objective of %v", route.Timeout, route.Target)
	}
	if route.Timeout > d.Idle {
		r.add(Warning, where, "clients wait for %v, longer than the idle timeout of %v", route.Timeout, d.Idle)
	}
}

func (d routing) checkService(r *Report, s sparroster.Service) {
	where := "service " + s.Name
	targeted := slices.ContainsFunc(d.Routes, func(route sparroster.Route) bool { return route.HasTarget(s.Name) })
	if !targeted {
		r.add(Warning, where, "gets no flows, no route names it")
	}
	if s.WarmTime > 0 && s.WarmRate == 0 {
		r.add(Warning, where, "its warm-up of %v has no rate, so nothing limits it", s.WarmTime)
	}
}

// compare adds what differs from the document in force. VMs keep a document until they get one of a
// higher version.
func (d routing) compare(before routing, r *Report) {
	switch {
	case d.Version < before.Version:
		r.add(Error, "version", "%d is lower than version %d in force, VMs pass it over", d.Version, before.Version)
	case d.Version == before.Version:
		r.add(Error, "version", "%d is that in force, versions must rise", d.Version)
	}
	changed(r, "limits", "idle timeout", before.Idle, d.Idle)
	d.compareRoutes(before, r)
	d.compareServices(before, r)
}

func (d routing) compareRoutes(before routing, r *Report) {
	was, is := before.byAddress(), d.byAddress()
	for _, at := range addresses(was, is) {
		old, existed := was[at]
		now, exists := is[at]
		switch {
		case !existed:
			r.add(Change, nameOf(now), "added, to %s", targets(now))
		case !exists:
			r.add(Change, nameOf(old), "removed, its open flows end")
		default:
			compareRoute(r, old, now)
		}
	}
}

func compareRoute(r *Report, old, now sparroster.Route) {
	where := nameOf(now)
	changed(r, where, "name", old.Name, now.Name)
	changed(r, where, "targets", targets(old), targets(now))
	changed(r, where, "repeatable", old.Repeatable, now.Repeatable)
	changed(r, where, "priority", old.Priority, now.Priority)
	changed(r, where, "latency objective", old.Target, now.Target)
	changed(r, where, "timeout", old.Timeout, now.Timeout)
}

func (d routing) compareServices(before routing, r *Report) {
	for _, s := range d.Services {
		where := "service " + s.Name
		if !slices.ContainsFunc(before.Services, func(b sparroster.Service) bool { return b.Name == s.Name }) {
			r.add(Change, where, "added")
			continue
		}
		old := before.Service(s.Name)
		changed(r, where, "warm-up rate", old.WarmRate, s.WarmRate)
		changed(r, where, "warm-up", old.WarmTime, s.WarmTime)
	}
	for _, s := range before.Services {
		if !slices.ContainsFunc(d.Services, func(n sparroster.Service) bool { return n.Name == s.Name }) {
			r.add(Change, "service "+s.Name, "removed")
		}
	}
}

// byAddress returns the route in force at each address: the last one, as in a roster.
func (d routing) byAddress() map[sparflow.Endpoint]sparroster.Route {
	routes := map[sparflow.Endpoint]sparroster.Route{}
	for _, route := range d.Routes {
		routes[route.Address] = route
	}
	return routes
}

func addresses(lists ...map[sparflow.Endpoint]sparroster.Route) (all []sparflow.Endpoint) {
	for _, list := range lists {
		for at := range list {
			all = append(all, at)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func nameOf(route sparroster.Route) string {
	return fmt.Sprintf("route %s %s", route.Name, route.Address)
}

func targets(route sparroster.Route) string {
	var list []string
	for _, t := range route.Targets {
		list = append(list, fmt.Sprintf("%s:%d", t.Service, t.Weight))
	}
	return strings.Join(list, ",")
}

// lastOf returns the last route of an address, or nil.
func lastOf(routes []sparroster.Route, at sparflow.Endpoint) (last *sparroster.Route) {
	for i := range routes {
		if routes[i].Address == at {
			last = &routes[i]
		}
	}
	return last
}
