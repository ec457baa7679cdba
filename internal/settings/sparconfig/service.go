// Package sparconfig reads settings: the settings file of a VM and the service documents
// that teams store on the platform.
//
// A service document is JSON with comments. Durations are in seconds:
//
//	{
//		"address": "198.51.100.1:443", // what clients connect to
//		"proto": "tcp",
//		"upstreams": [
//			{"at": "10.1.0.1:8080", "domain": "north"},
//			{"at": "10.1.0.2:8080", "state": "drain", "until": 1790000000},
//		],
//		"spread": 0.05, // an upstream may have 5% more flows than the mean
//	}
//
// A Snapshot holds the services in force, read from all documents of a registry. It is an
// immutable value. A document that breaks a rule is refused, and the last valid one
// stays in force.
package sparconfig

import (
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// Serve is the state of an upstream that takes new flows.
	Serve = "serve"
	// Drain is the state of an upstream that keeps its flows and takes no new ones.
	Drain = "drain"

	// DefaultSpread is the fraction by which an upstream may exceed the mean load.
	DefaultSpread = 0.05
	// DefaultDrain is how long a draining upstream keeps its flows, in seconds.
	DefaultDrain = 4 * 3600
	// DefaultSilent is how long a TCP flow without packets counts as open, in seconds.
	DefaultSilent = 2 * 3600
	// DefaultIdle is the idle timeout of a UDP flow, in seconds.
	DefaultIdle = 60

	maxSpread    = 1.0
	minSpread    = 0.001
	maxSeconds   = 7 * 24 * 3600
	maxUpstreams = 1024
)

type (
	// Service is the settings of one service, from a valid document.
	Service struct {
		Name      string                // team/service
		At        sparregistry.Position // of its document
		Address   sparflow.Endpoint
		Proto     sparflow.Proto
		Upstreams []Upstream
		Spread    float64
		Drain     time.Duration
		Silent    time.Duration
		Idle      time.Duration
		Warm      time.Duration
	}

	// Upstream is one server of a service.
	Upstream struct {
		At        sparflow.Endpoint
		Domain    string // failure domain, "" if the document names none
		Draining  bool
		Until     time.Time // end of the drain; zero while serving
		Evacuated bool      // its failure domain is evacuated
	}
)

// Service checks d and returns the service that it describes.
func (d Document) Service(name string, at sparregistry.Position) (s Service, err error) {
	s = Service{Name: name, At: at}
	if s.Address, err = sparflow.ParseEndpoint(d.Address); err != nil {
		return Service{}, errors.Annotate(err, "address")
	}
	if s.Proto, err = sparflow.ParseProto(d.Proto); err != nil {
		return Service{}, errors.Annotate(err, "proto")
	}
	if s.Upstreams, err = d.parseUpstreams(s.Address); err != nil {
		return Service{}, err
	}
	if s.Spread, err = d.spread(); err != nil {
		return Service{}, err
	}
	for _, field := range []struct {
		name     string
		value    int64
		fallback int64
		to       *time.Duration
	}{
		{"drain", d.Drain, DefaultDrain, &s.Drain},
		{"silent", d.Silent, DefaultSilent, &s.Silent},
		{"idle", d.Idle, DefaultIdle, &s.Idle},
		{"warm", d.Warm, 0, &s.Warm},
	} {
		if *field.to, err = seconds(field.name, field.value, field.fallback); err != nil {
			return Service{}, err
		}
	}
	return s, nil
}

// AcceptsFlows reports whether u takes new flows.
func (u Upstream) AcceptsFlows() bool { return !u.Draining && !u.Evacuated }

// DrainEnded reports whether the drain of u has ended at the wall time now.
func (u Upstream) DrainEnded(now time.Time) bool {
	return u.Draining && !now.Before(u.Until)
}

func (d Document) parseUpstreams(service sparflow.Endpoint) (upstreams []Upstream, err error) {
	seen := map[sparflow.Endpoint]bool{service: true}
	if len(d.Upstreams) > maxUpstreams {
		return nil, errors.Errorf("upstreams: %d given, expected at most %d", len(d.Upstreams), maxUpstreams)
	}
	for i, m := range d.Upstreams {
		at, err := sparflow.ParseEndpoint(m.At)
		if err != nil {
			return nil, errors.Annotatef(err, "upstreams[%d].at", i)
		}
		if seen[at] {
			return nil, errors.Errorf("upstreams[%d].at: %s is used twice in this document", i, at)
		}
		seen[at] = true
		u := Upstream{At: at, Domain: m.Domain}
		if m.Domain != "" && CheckName(m.Domain) != nil {
			return nil, errors.Annotatef(CheckName(m.Domain), "upstreams[%d].domain", i)
		}
		switch m.State {
		case "", Serve:
		case Drain:
			if m.Until <= 0 {
				return nil, errors.Errorf("upstreams[%d].until: expected Unix seconds above 0 beside state drain", i)
			}
			u.Draining, u.Until = true, time.Unix(m.Until, 0)
		default:
			return nil, errors.Errorf("upstreams[%d].state: %q, expected serve or drain", i, m.State)
		}
		upstreams = append(upstreams, u)
	}
	return upstreams, nil
}

func (d Document) spread() (float64, error) {
	switch {
	case d.Spread == 0:
		return DefaultSpread, nil
	case d.Spread < minSpread || d.Spread > maxSpread:
		return 0, errors.Errorf("spread: %v, expected %v to %v", d.Spread, minSpread, maxSpread)
	}
	return d.Spread, nil
}

func seconds(name string, value, fallback int64) (time.Duration, error) {
	if value < 0 || value > maxSeconds {
		return 0, errors.Errorf("%s: %d, expected 0 to %d seconds", name, value, maxSeconds)
	}
	if value == 0 {
		value = fallback
	}
	return time.Duration(value) * time.Second, nil
}
