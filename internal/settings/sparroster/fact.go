package sparroster

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

type (
	// Fact is the decoded value of a key. It is a sealed interface: Routing, Upstream,
	// Unusable, VM or Evacuation.
	Fact interface {
		fact()
	}

	// Decoder decodes the value of a registry key from the platform's format. With an error it
	// returns Unusable if the entry is that of an upstream.
	Decoder func(key string, value []byte) (Fact, error)

	// Routing is the configuration set by the operator.
	Routing struct {
		Version  uint64
		Routes   []Route
		Services []Service
		Idle     time.Duration // idle timeout of flows
		Refused  []string      // invalid routes, with the reason
	}

	// Route maps an address to the services that take its flows.
	Route struct {
		Name    string
		Address sparflow.Endpoint // that clients connect to
		Targets []Target

		Repeatable bool          // its requests may run more than once
		Priority   int           // 0 is the most urgent
		Target     time.Duration // latency objective of its requests, 0 if there is none
		Timeout    time.Duration // after which its clients give up, 0 if unknown
	}

	// Service is what the operator has configured for the upstreams of a service.
	Service struct {
		Name string
		// WarmRate is the number of requests per second that an upstream of the service takes
		// during its warm-up, 0 for no limit.
		WarmRate float64
		WarmTime time.Duration // how long that is, 0 if unknown
	}

	// Target is a service with its share of new flows.
	Target struct {
		Service string
		Weight  int // 0 for no new flows
	}

	// Upstream is one server as it has registered itself.
	Upstream struct {
		ID       uint64 // identifies the server in packets to it
		Service  string
		At       sparflow.Endpoint
		Domain   string
		Slots    int // requests that it serves concurrently
		Draining bool
		Warm     time.Duration // rest of its warm-up, during which it is slow
		Born     int64         // start time in Unix milliseconds, 0 if unknown
	}

	// Unusable is an upstream whose entry can't be used, since another writer has left it. The
	// upstream takes no new flows. Nothing says that it has stopped, so it keeps those that it
	// has.
	Unusable struct {
		ID uint64
	}

	// VM is one entry VM.
	VM struct {
		sparconfig.VM
	}

	// Evacuation asks that the upstreams of a failure domain take no new flows until its entry is
	// removed.
	Evacuation struct {
		Domain string
	}
)

func (Routing) fact()    {}
func (Upstream) fact()   {}
func (Unusable) fact()   {}
func (VM) fact()         {}
func (Evacuation) fact() {}

// Service returns what is configured for a service, or the zero Service.
func (r Routing) Service(name string) Service {
	for _, s := range r.Services {
		if s.Name == name {
			return s
		}
	}
	return Service{}
}

// Names reports whether the configuration names a service, as a target of a route or by itself.
func (r Routing) Names(service string) bool {
	return slices.ContainsFunc(r.Services, func(s Service) bool { return s.Name == service }) ||
		slices.ContainsFunc(r.Routes, func(route Route) bool { return route.HasTarget(service) })
}

// HasTarget reports whether the service is a target of the route, whatever its weight.
func (r Route) HasTarget(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Takes reports whether new flows of the route may go to the service.
func (r Route) Takes(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// ErrUnknownKey is returned by a Decoder for a key of a kind that it does not support.
const ErrUnknownKey = errors.ConstError("no such kind of key")
