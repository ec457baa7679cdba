// Package sparroster holds the settings of a fabric whose platform lists routes,
// upstreams and VMs: who may serve what, and where.
//
// The platform's own form is decoded at its edge into facts, one for each key. A
// Roster is built from the facts of a registry and is immutable:
//
//	roster := sparroster.New(registry, platform.Decode)
//	route, ok := roster.Route(address)
//
// An entry that cannot be read is left out and listed in Problems; the others hold.
package sparroster

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// RoutingKey is the registry key of the routes.
	RoutingKey = "routing"
	// UpstreamPrefix begins the registry keys of upstreams, followed by their id.
	UpstreamPrefix = "upstream/"
	// VMPrefix begins the registry keys of VMs, followed by their name.
	VMPrefix = "vm/"

	// DefaultIdle is how long a flow may be silent where the routing does not say.
	DefaultIdle = 15 * time.Second
)

type (
	// Fact is what one key says. It is a sealed interface: Routing, Upstream or VM.
	Fact interface {
		fact()
	}

	// Decoder reads the value of a registry key in the platform's form.
	Decoder func(key string, value []byte) (Fact, error)

	// Routing is the configuration of the operator.
	Routing struct {
		Version uint64
		Routes  []Route
		Idle    time.Duration // silence after which a flow may be forgotten
		Refused []string      // routes that cannot be used, and why
	}

	// Route says which services take the flows to one address.
	Route struct {
		Name    string
		Address sparflow.Endpoint // what callers connect to
		Targets []Target
	}

	// Target is a service with its share of new flows.
	Target struct {
		Service string
		Weight  int // 0 takes no new flows
	}

	// Upstream is one server as it lists itself.
	Upstream struct {
		ID       uint64 // names the server in packets to it
		Service  string
		At       sparflow.Endpoint
		Domain   string
		Slots    int // requests that it works on at once
		Draining bool
		Warm     time.Duration // how much longer it is slow after its start
		Born     int64         // Unix milliseconds of its start, 0 where it does not say
	}

	// VM is one entry VM.
	VM struct {
		sparconfig.VM
	}

	// Problem is an entry that was left out.
	Problem struct {
		Key      string
		Revision uint64
		Cause    string
	}

	// Roster is the settings in force. The zero Roster is empty.
	Roster struct {
		Revision  uint64
		Digest    uint64
		Routing   Routing
		Upstreams []Upstream // by id
		VMs       []sparconfig.VM
		Problems  []Problem

		routes map[sparflow.Endpoint]Route
		read   map[string]reading
	}

	// reading is an entry as decoded at a revision.
	reading struct {
		revision uint64
		fact     Fact
		err      error
	}
)

func (Routing) fact()  {}
func (Upstream) fact() {}
func (VM) fact()       {}

// New returns the roster that the live entries of a registry make up.
func New(registry sparregistry.Registry, decode Decoder) Roster {
	return Roster{}.With(registry, decode)
}

// With returns the roster that the live entries of a registry make up. Entries that r
// has read at the same revision are not decoded again.
func (r Roster) With(registry sparregistry.Registry, decode Decoder) Roster {
	next := Roster{
		Revision: registry.Revision(), Digest: registry.Digest(),
		Routing: Routing{Idle: DefaultIdle}, routes: map[sparflow.Endpoint]Route{}, read: map[string]reading{},
	}
	for _, e := range registry.Under("") {
		known, ok := r.read[e.Key]
		if !ok || known.revision != e.Revision {
			fact, err := decode.read(e)
			known = reading{revision: e.Revision, fact: fact, err: err}
		}
		next.read[e.Key] = known
		next.add(e.Key, known)
	}
	for _, route := range next.Routing.Routes {
		next.routes[route.Address] = route
	}
	slices.SortFunc(next.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(next.VMs, func(a, b sparconfig.VM) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// read decodes an entry. A decoder that panics spoils this entry alone: each VM has the same
// ones, and all of them would end.
func (d Decoder) read(e sparregistry.Entry) (fact Fact, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			fact, err = nil, errors.Errorf("decoding panicked: %v", cause)
		}
	}()
	return d(e.Key, e.Value)
}

// add takes one decoded entry.
func (r *Roster) add(key string, entry reading) {
	if entry.err != nil {
		r.Problems = append(r.Problems, Problem{Key: key, Revision: entry.revision, Cause: entry.err.Error()})
		return
	}
	switch fact := entry.fact.(type) {
	case Routing:
		r.Routing = fact
		for _, cause := range fact.Refused {
			r.Problems = append(r.Problems, Problem{Key: key, Revision: entry.revision, Cause: cause})
		}
	case Upstream:
		r.Upstreams = append(r.Upstreams, fact)
	case VM:
		r.VMs = append(r.VMs, fact.VM)
	}
}

// Route returns the route of an address.
func (r Roster) Route(at sparflow.Endpoint) (route Route, ok bool) {
	route, ok = r.routes[at]
	return route, ok
}

// Addresses returns the addresses that have a route, in order.
func (r Roster) Addresses() []sparflow.Endpoint {
	return slices.Sorted(maps.Keys(r.routes))
}

// Takes reports whether the route lists the service, whatever its share.
func (r Route) Takes(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// ErrUnknownKey is the cause of a decoder's refusal of a key that it has no form for.
const ErrUnknownKey = errors.ConstError("no such kind of key")
