package sparconfig

import (
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

type (
	// Snapshot is the set of services in force. The zero Snapshot has none.
	Snapshot struct {
		At          sparregistry.Position
		Digest      uint64
		Problems    []Problem
		Evacuations []Evacuation // in the order of their domains

		services   map[string]*Service
		byAddress  map[binding]*Service
		byUpstream map[binding]*Service
	}

	// Problem is a refused document.
	Problem struct {
		Service string
		At      sparregistry.Position // of the document
		Cause   string
		Kept    uint64 // revision of the last valid document, 0 if there is none
	}

	binding struct {
		proto sparflow.Proto
		at    sparflow.Endpoint
	}
)

// With returns the snapshot of the documents in r. A document that breaks a rule leaves
// the service as it is in s, unless another service has claimed one of its addresses.
func (s Snapshot) With(r sparregistry.Registry) Snapshot {
	next := Snapshot{
		At: r.Position(), Digest: r.Digest(),
		services: map[string]*Service{}, byAddress: map[binding]*Service{}, byUpstream: map[binding]*Service{},
	}
	next.readEvacuations(r)
	for _, e := range r.Under(TeamPrefix) {
		name, ok := ServiceName(e.Key)
		if !ok {
			continue
		}
		service, err := parseService(r, name, e)
		if err != nil {
			problem := Problem{Service: name, At: e.Position(), Cause: err.Error()}
			service = s.services[name]
			if service != nil && checkClaims(r, service) != nil {
				service = nil
			}
			if service != nil {
				problem.Kept = service.At.Revision
			}
			next.Problems = append(next.Problems, problem)
		}
		next.add(service.withEvacuations(next.Evacuations))
	}
	return next
}

// Services returns the services in force by name.
func (s Snapshot) Services() map[string]*Service { return s.services }

// Service returns the service named team/service.
func (s Snapshot) Service(name string) *Service { return s.services[name] }

// ServiceAt returns the service that clients reach at an address.
func (s Snapshot) ServiceAt(proto sparflow.Proto, at sparflow.Endpoint) *Service {
	return s.byAddress[binding{proto, at}]
}

// ServiceOfUpstream returns the service of the upstream at an address.
func (s Snapshot) ServiceOfUpstream(proto sparflow.Proto, at sparflow.Endpoint) *Service {
	return s.byUpstream[binding{proto, at}]
}

// Upstream returns the upstream of s at an address.
func (s *Service) Upstream(at sparflow.Endpoint) (u Upstream, ok bool) {
	for _, u := range s.Upstreams {
		if u.At == at {
			return u, true
		}
	}
	return Upstream{}, false
}

// Carries reports whether the upstream at an address may still have flows at the wall
// time now.
func (s *Service) Carries(at sparflow.Endpoint, now time.Time) bool {
	u, ok := s.Upstream(at)
	return ok && !u.DrainEnded(now)
}

func (s *Snapshot) add(service *Service) {
	if service == nil {
		return
	}
	s.services[service.Name] = service
	s.byAddress[binding{service.Proto, service.Address}] = service
	for _, u := range service.Upstreams {
		s.byUpstream[binding{service.Proto, u.At}] = service
	}
}

// parseService returns the service of the document in e, or nil if the document is marked
// as removed.
func parseService(r sparregistry.Registry, name string, e sparregistry.Entry) (service *Service, err error) {
	d, err := ReadDocument(e.Value)
	if err != nil {
		return nil, err
	}
	if d.Removed {
		return nil, nil
	}
	checked, err := d.Service(name, e.Position())
	if err != nil {
		return nil, err
	}
	if err := checkClaims(r, &checked); err != nil {
		return nil, err
	}
	return &checked, nil
}

// checkClaims returns an error unless every address of s is claimed by s.
func checkClaims(r sparregistry.Registry, s *Service) error {
	addresses := []sparflow.Endpoint{s.Address}
	for _, u := range s.Upstreams {
		addresses = append(addresses, u.At)
	}
	for _, at := range addresses {
		claim, ok := r.Get(ClaimKey(s.Proto, at))
		switch {
		case !ok:
			return errors.Errorf("%s is not claimed by %s", at, s.Name)
		case string(claim.Value) != s.Name:
			return errors.Errorf("%s is claimed by %s", at, claim.Value)
		}
	}
	return nil
}
