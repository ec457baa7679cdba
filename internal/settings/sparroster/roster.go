// Package sparroster holds the settings of a fabric: the routes, upstreams and VMs that
// are registered at its platform.
//
// A Decoder translates the platform's format into facts, one for each key. A Roster is
// built from the facts of a registry and is immutable:
//
//	roster := sparroster.New(registry, platform.Decode)
//	route, ok := roster.Route(address)
//
// An entry that cannot be decoded is left out and reported in Problems; the other entries
// remain in force, and so does the last routing until there is a later one.
package sparroster

import (
	"fmt"
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
	// RoutingKey is the registry key of the Routing.
	RoutingKey = "routing"
	// UpstreamPrefix is the prefix of the registry keys of upstreams. The ID follows.
	UpstreamPrefix = "upstream/"
	// VMPrefix is the prefix of the registry keys of VMs. The name follows.
	VMPrefix = "vm/"
	// EvacuationPrefix is the prefix of the registry keys of evacuations. The failure domain
	// follows.
	EvacuationPrefix = sparconfig.EvacuationPrefix

	// DefaultIdle is the idle timeout of flows if the routing sets none.
	DefaultIdle = 15 * time.Second
)

type (
	// Problem is an entry, or a route of the routing, that was left out.
	Problem struct {
		Key   string
		At    sparregistry.Position // that changed the entry last
		Cause string
	}

	// Roster is the settings in force. The zero Roster is empty.
	Roster struct {
		At        sparregistry.Position // at which the settings are complete
		Digest    uint64
		Routing   Routing
		RoutingAt sparregistry.Position // that changed the routing last
		Upstreams []Upstream            // by ID
		Unusable  []Unusable
		VMs       []sparconfig.VM
		Evacuated []string // failure domains, in order
		Problems  []Problem

		routes  map[sparflow.Endpoint]Route
		decoded map[string]decodedEntry
	}

	// decodedEntry is the result of decoding an entry at a position.
	decodedEntry struct {
		at   sparregistry.Position
		fact Fact
		err  error
	}
)

// New returns the roster of the live entries of a registry.
func New(registry sparregistry.Registry, decode Decoder) Roster {
	return Roster{}.With(registry, decode)
}

// With returns the roster of the live entries of a registry. Entries that r has decoded
// at the same position are not decoded again.
func (r Roster) With(registry sparregistry.Registry, decode Decoder) Roster {
	next := Roster{
		At: registry.Position(), Digest: registry.Digest(),
		Routing: Routing{Idle: DefaultIdle}, routes: map[sparflow.Endpoint]Route{}, decoded: map[string]decodedEntry{},
	}
	for _, e := range registry.Under("") {
		d, ok := r.decoded[e.Key]
		if !ok || d.at != e.Position() {
			fact, err := decode.decodeEntry(e)
			d = decodedEntry{at: e.Position(), fact: fact, err: err}
		}
		next.decoded[e.Key] = d
		next.add(e.Key, d)
	}
	next.keepRouting(r)
	for _, route := range next.Routing.Routes {
		next.routes[route.Address] = route
	}
	next.resolveIDs()
	slices.SortFunc(next.VMs, func(a, b sparconfig.VM) int { return strings.Compare(a.Name, b.Name) })
	return next
}

// keepRouting keeps the routing of the previous roster unless r has a usable one of at least its
// version: versions rise, and a platform that shows anything else has lost the latest one.
func (r *Roster) keepRouting(previous Roster) {
	found := !r.RoutingAt.IsZero()
	if previous.RoutingAt.IsZero() || found && r.Routing.Version >= previous.Routing.Version {
		return
	}
	_, damaged := r.decoded[RoutingKey]
	switch {
	case found:
		r.addProblem(RoutingKey, r.RoutingAt, fmt.Sprintf("version %d is older than version %d, which stays in force", r.Routing.Version, previous.Routing.Version))
	case !damaged: // otherwise a problem already
		r.addProblem(RoutingKey, r.At, fmt.Sprintf("missing, version %d stays in force", previous.Routing.Version))
	}
	r.Routing, r.RoutingAt = previous.Routing, previous.RoutingAt
}

func (r *Roster) addProblem(key string, at sparregistry.Position, cause string) {
	r.Problems = append(r.Problems, Problem{Key: sparconfig.Shorten(key), At: at, Cause: sparconfig.Shorten(cause)})
}

// decodeEntry decodes an entry. A panic of the decoder becomes an error of this entry: all VMs
// have the same entries and would otherwise all crash.
func (d Decoder) decodeEntry(e sparregistry.Entry) (fact Fact, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			fact, err = nil, errors.Errorf("decoding panicked: %v", cause)
		}
	}()
	return d(e.Key, e.Value)
}

// add adds a decoded entry to the roster, or the problem that it has.
func (r *Roster) add(key string, entry decodedEntry) {
	if entry.err != nil {
		r.addProblem(key, entry.at, entry.err.Error())
	}
	switch fact := entry.fact.(type) {
	case Unusable:
		r.Unusable = append(r.Unusable, fact)
	case Routing:
		r.Routing, r.RoutingAt = fact, entry.at
		for _, cause := range fact.Refused {
			r.addProblem(key, entry.at, cause)
		}
	case Upstream:
		r.Upstreams = append(r.Upstreams, fact)
	case VM:
		r.VMs = append(r.VMs, fact.VM)
	case Evacuation:
		r.Evacuated = append(r.Evacuated, fact.Domain) // entries come in the order of their keys
	}
}

// Route returns the route for an address.
func (r Roster) Route(at sparflow.Endpoint) (route Route, ok bool) {
	route, ok = r.routes[at]
	return route, ok
}

// Evacuates reports whether the upstreams of a failure domain take no new flows.
func (r Roster) Evacuates(domain string) bool { return slices.Contains(r.Evacuated, domain) }

// EvacuatedAt returns the position that asked for the evacuation of a failure domain, or the zero
// Position if it is not evacuated.
func (r Roster) EvacuatedAt(domain string) sparregistry.Position {
	if !r.Evacuates(domain) {
		return sparregistry.Position{}
	}
	return r.decoded[EvacuationPrefix+domain].at
}

// Addresses returns the addresses that have a route, in order.
func (r Roster) Addresses() []sparflow.Endpoint {
	return slices.Sorted(maps.Keys(r.routes))
}

// VMEntryAt returns the position that wrote the entry of a VM last, and whether the VM is listed.
func (r Roster) VMEntryAt(name string) (at sparregistry.Position, listed bool) {
	for _, vm := range r.VMs {
		if vm.Name == name {
			return r.decoded[VMPrefix+name].at, true
		}
	}
	return at, false
}
