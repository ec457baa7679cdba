package sparconfig

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
)

const (
	// EvacuationPrefix is the prefix of the platform keys of evacuations. The failure domain follows.
	EvacuationPrefix = "evacuation/"

	// maxText is the number of bytes of foreign text in a problem.
	maxText = 300
)

type (
	// Evacuation is the request that the upstreams of a failure domain take no new flows.
	Evacuation struct {
		Domain string
		At     sparregistry.Position // that asked for it
	}

	// EvacuationDocument is the value of the platform key of an evacuation. The key stays when the
	// evacuation ends: a write that was delayed on the way then expects an older revision, and
	// doesn't evacuate the domain again.
	EvacuationDocument struct {
		Ended bool `json:"ended"`
	}
)

// EvacuationKey returns the platform key of the evacuation of a failure domain.
func EvacuationKey(domain string) string { return EvacuationPrefix + domain }

// Text returns d as JSON.
func (d EvacuationDocument) Text() []byte {
	text, err := json.Marshal(d)
	if err != nil {
		panic(err) // a boolean always encodes
	}
	return text
}

// ReadEvacuation parses the value of an evacuation. One that can't be parsed is in force: somebody
// has asked for something, and an evacuation does less harm than new flows in a domain that is
// about to stop.
func ReadEvacuation(value []byte) (d EvacuationDocument, err error) {
	return decode(value, sparjson.DecodeKnown[EvacuationDocument])
}

// readEvacuations adds the evacuations of r to s. A key that names no possible domain is a problem.
func (s *Snapshot) readEvacuations(r sparregistry.Registry) {
	for _, e := range r.Under(EvacuationPrefix) {
		domain := strings.TrimPrefix(e.Key, EvacuationPrefix)
		if err := CheckName(domain); err != nil {
			s.addEvacuationProblem(e, errors.Annotate(err, "left out"))
			continue
		}
		d, err := ReadEvacuation(e.Value)
		if err != nil {
			s.addEvacuationProblem(e, errors.Annotate(err, "in force, although its value is wrong"))
		}
		if !d.Ended {
			s.Evacuations = append(s.Evacuations, Evacuation{Domain: domain, At: e.Position()})
		}
	}
}

func (s *Snapshot) addEvacuationProblem(e sparregistry.Entry, err error) {
	s.Problems = append(s.Problems, Problem{Service: Shorten(e.Key), At: e.Position(), Cause: Shorten(err.Error())})
}

// Evacuates reports whether the upstreams of a failure domain take no new flows.
func (s Snapshot) Evacuates(domain string) bool {
	return slices.ContainsFunc(s.Evacuations, func(e Evacuation) bool { return e.Domain == domain })
}

// withEvacuations returns s with the evacuations marked at its upstreams. s may be nil.
func (s *Service) withEvacuations(evacuations []Evacuation) *Service {
	if s == nil {
		return nil
	}
	next := *s
	next.Upstreams = slices.Clone(s.Upstreams)
	for i, u := range next.Upstreams {
		next.Upstreams[i].Evacuated = slices.ContainsFunc(evacuations, func(e Evacuation) bool { return e.Domain == u.Domain })
	}
	return &next
}

// SameEvacuations reports whether the same upstreams are evacuated in two services of the same
// document.
func (s *Service) SameEvacuations(other *Service) bool {
	return slices.EqualFunc(s.Upstreams, other.Upstreams, func(a, b Upstream) bool { return a.Evacuated == b.Evacuated })
}

// Shorten returns text of other writers cut to a length that logs and status lines can hold.
func Shorten(text string) string { return ShortenTo(text, maxText) }

// ShortenTo returns text, or its first most bytes and "..." if it is longer.
func ShortenTo(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "") + "..."
}
