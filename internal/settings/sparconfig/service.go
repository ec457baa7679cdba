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
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const (
	// Serve is the state of an upstream that takes new flows.
	Serve = "serve"
	// Drain is the state of an upstream that keeps its flows and takes no new ones.
	Drain = "drain"

	// MaxWrites is the number of latest writes whose IDs a document keeps.
	MaxWrites = 32
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

	// TeamPrefix is the prefix of the platform keys of service documents.
	TeamPrefix = "team/"
	// ClaimPrefix is the prefix of the platform keys of claims on addresses.
	ClaimPrefix = "claim/"

	servicesPart = "services"
	vmPrefix     = "vm/"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

type (
	// Document is the settings of one service as written by its team.
	Document struct {
		Address   string   `json:"address"`
		Proto     string   `json:"proto"`
		Upstreams []Member `json:"upstreams"`
		Spread    float64  `json:"spread,omitempty"`
		Drain     int64    `json:"drain,omitempty"`
		Silent    int64    `json:"silent,omitempty"`
		Idle      int64    `json:"idle,omitempty"`
		Warm      int64    `json:"warm,omitempty"`
		Removed   bool     `json:"removed,omitempty"`
		Writes    []string `json:"writes,omitempty"`
	}

	// Member is one upstream of a document.
	Member struct {
		At     string `json:"at"`
		Domain string `json:"domain,omitempty"` // failure domain
		State  string `json:"state,omitempty"`
		Until  int64  `json:"until,omitempty"` // end of the drain in Unix seconds
	}

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

// ServiceKey returns the platform key of a service document.
func ServiceKey(team, service string) string {
	return TeamPrefix + team + "/" + servicesPart + "/" + service
}

// ServiceName returns the "team/service" of the platform key of a service document.
func ServiceName(key string) (name string, ok bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 || parts[0]+"/" != TeamPrefix || parts[2] != servicesPart {
		return "", false
	}
	if CheckName(parts[1]) != nil || CheckName(parts[3]) != nil {
		return "", false
	}
	return parts[1] + "/" + parts[3], true
}

// ClaimKey returns the platform key of the claim on an address.
func ClaimKey(proto sparflow.Proto, at sparflow.Endpoint) string {
	return ClaimPrefix + proto.String() + "/" + at.String()
}

// CheckName returns an error unless name is valid for a team, service, VM or failure
// domain.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return errors.Errorf("name %q: expected 1 to 63 of a-z, 0-9 and -, not beginning with -", name)
	}
	return nil
}

// ParseDocument parses and checks a service document. Errors name the line of a syntax
// error, or the path of a field, and what was expected.
func ParseDocument(text []byte) (d Document, err error) {
	if err := decode(text, &d); err != nil {
		return Document{}, err
	}
	if _, err := d.Service("check/check", sparregistry.Position{}); err != nil {
		return Document{}, err
	}
	return d, nil
}

// ReadDocument parses a stored document without checking its rules.
func ReadDocument(text []byte) (d Document, err error) {
	err = decode(text, &d)
	return d, err
}

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

// Claims returns the platform keys of the claims on all addresses that d uses.
func (d Document) Claims() []string {
	proto, err := sparflow.ParseProto(d.Proto)
	if err != nil {
		return nil
	}
	var keys []string
	addresses := []string{d.Address}
	for _, m := range d.Upstreams {
		addresses = append(addresses, m.At)
	}
	for _, a := range addresses {
		if e, err := sparflow.ParseEndpoint(a); err == nil {
			keys = append(keys, ClaimKey(proto, e))
		}
	}
	return keys
}

// WithWrite returns d with the ID of one more write. Beyond MaxWrites it drops the oldest.
func (d Document) WithWrite(id string) Document {
	writes := append(append([]string{}, d.Writes...), id)
	if len(writes) > MaxWrites {
		writes = writes[len(writes)-MaxWrites:]
	}
	d.Writes = writes
	return d
}

// Wrote reports whether d contains the write with the ID.
func (d Document) Wrote(id string) bool {
	for _, w := range d.Writes {
		if w == id {
			return true
		}
	}
	return false
}

// WithDrain returns d with the upstream at the address draining until the time given. The
// result is false if d has no such upstream.
func (d Document) WithDrain(at string, until time.Time) (Document, bool) {
	upstreams := append([]Member{}, d.Upstreams...)
	found := false
	for i, m := range upstreams {
		if m.At == at {
			upstreams[i] = Member{At: at, Domain: m.Domain, State: Drain, Until: until.Unix()}
			found = true
		}
	}
	d.Upstreams = upstreams
	return d, found
}

// Text returns d as indented JSON.
func (d Document) Text() []byte {
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		panic(err) // a Document has only plain values
	}
	return append(text, '\n')
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

// decode parses JSON with comments into to. It refuses unknown fields.
func decode(text []byte, to any) error {
	if err := checkDepth(text); err != nil {
		return err
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return errors.Errorf("%v, expected JSON with comments", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		cause := strings.TrimPrefix(err.Error(), "json: ")
		offset := decoder.InputOffset()
		if field, ok := strings.CutPrefix(cause, "unknown field "); ok {
			offset = int64(max(bytes.Index(standard, []byte(field)), 0))
		}
		return errors.Errorf("line %d: %s", lineOf(standard, offset), cause)
	}
	if decoder.More() {
		return errors.Errorf("line %d: expected nothing after the document", lineOf(standard, decoder.InputOffset()))
	}
	return nil
}

func lineOf(text []byte, offset int64) int {
	offset = min(offset, int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
