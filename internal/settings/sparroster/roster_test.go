package sparroster_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

var front = sparflow.MakeEndpoint(0xc6120001, 443)

// decode is the decoder of these tests. The value of an upstream is the name of its service.
func decode(key string, value []byte) (sparroster.Fact, error) {
	switch {
	case key == sparroster.RoutingKey:
		return sparroster.Routing{Version: 3, Routes: []sparroster.Route{{Address: front, Targets: []sparroster.Target{{Service: "a"}}}}}, nil
	case len(value) == 0:
		return sparroster.Unusable{ID: uint64(len(key))}, errors.New("empty")
	}
	return sparroster.Upstream{ID: uint64(len(key)), Service: string(value)}, nil
}

// ExampleNew shows that an entry that cannot be decoded leaves the others in force.
func ExampleNew() {
	r := sparregistry.Registry{}.With(
		sparregistry.Entry{Key: sparroster.RoutingKey, Revision: 1},
		sparregistry.Entry{Key: "upstream/1", Value: []byte("a"), Revision: 2},
		sparregistry.Entry{Key: "upstream/22", Revision: 3},
	)
	roster := sparroster.New(r, decode)
	route, ok := roster.Route(front)
	fmt.Println(len(roster.Upstreams), route.HasTarget("a"), route.HasTarget("b"), ok)
	fmt.Println(roster.Problems[0].Key, roster.Problems[0].Cause, roster.Unusable)
	// Output:
	// 1 true false true
	// upstream/22 empty [{11}]
}

func TestDeletedEntriesAreLeftOut(t *testing.T) {
	r := sparregistry.Registry{}.With(sparregistry.Entry{Key: "upstream/1", Value: []byte("a"), Revision: 2})
	r = r.WithFullRead(nil, sparregistry.Position{Revision: 3})
	if roster := sparroster.New(r, decode); len(roster.Upstreams) != 0 {
		t.Errorf("upstreams %v", roster.Upstreams)
	}
}

func TestUnchangedEntriesAreNotDecodedAgain(t *testing.T) {
	calls := 0
	counting := func(key string, value []byte) (sparroster.Fact, error) {
		calls++
		id, err := strconv.ParseUint(strings.TrimPrefix(key, sparroster.UpstreamPrefix), 10, 64)
		return sparroster.Upstream{ID: id, Service: string(value)}, err
	}
	registry := sparregistry.Registry{}
	for n := range 100 {
		registry = registry.With(sparregistry.Entry{Key: fmt.Sprint("upstream/", n), Value: []byte("a"), Revision: uint64(n + 1)})
	}
	roster := sparroster.New(registry, counting)
	registry = registry.With(sparregistry.Entry{Key: "upstream/7", Value: []byte("b"), Revision: 200})
	if roster = roster.With(registry, counting); calls != 101 {
		t.Errorf("%d entries decoded, want 100 and the changed one", calls)
	}
	found := 0
	for _, u := range roster.Upstreams {
		if u.Service == "b" {
			found++
		}
	}
	if found != 1 || len(roster.Upstreams) != 100 {
		t.Errorf("%d of %d upstreams changed", found, len(roster.Upstreams))
	}
}

func TestRefusedRoutesAreProblems(t *testing.T) {
	r := sparregistry.Registry{}.With(sparregistry.Entry{Key: sparroster.RoutingKey, Revision: 5})
	roster := sparroster.New(r, func(string, []byte) (sparroster.Fact, error) {
		return sparroster.Routing{Refused: []string{"route a: no port"}}, nil
	})
	if want := (sparroster.Problem{Key: sparroster.RoutingKey, At: sparregistry.Position{Revision: 5}, Cause: "route a: no port"}); len(roster.Problems) != 1 || roster.Problems[0] != want {
		t.Errorf("problems %v", roster.Problems)
	}
}

// TestPanickingDecoder decodes an entry on which the decoder panics. The other entries must
// remain in force.
func TestPanickingDecoder(t *testing.T) {
	r := sparregistry.Registry{}.With(
		sparregistry.Entry{Key: "upstream/1", Value: []byte("a"), Revision: 2},
		sparregistry.Entry{Key: "upstream/22", Value: []byte("b"), Revision: 3},
	)
	roster := sparroster.New(r, func(key string, value []byte) (sparroster.Fact, error) {
		if key == "upstream/22" {
			panic("index out of range")
		}
		return decode(key, value)
	})
	if len(roster.Upstreams) != 1 || len(roster.Problems) != 1 || roster.Problems[0].Key != "upstream/22" {
		t.Errorf("upstreams %v, problems %v", roster.Upstreams, roster.Problems)
	}
}

// TestRoutingGoesBack guards against routes that change back, or vanish, when the platform has
// lost the operator's latest document, or holds one that can't be used.
func TestRoutingGoesBack(t *testing.T) {
	byVersion := func(key string, value []byte) (sparroster.Fact, error) {
		version := uint64(0)
		if _, err := fmt.Sscan(string(value), &version); err != nil {
			return nil, err
		}
		return sparroster.Routing{Version: version, Routes: []sparroster.Route{{Address: front}}}, nil
	}
	entry := func(era, revision uint64, value string) sparregistry.Entry {
		return sparregistry.Entry{Key: sparroster.RoutingKey, Value: []byte(value), Era: era, Revision: revision}
	}
	read := func(era, revision uint64, entries ...sparregistry.Entry) sparregistry.Registry {
		return sparregistry.Registry{}.WithFullRead(entries, sparregistry.Position{Era: era, Revision: revision})
	}
	before := sparroster.New(read(1, 9, entry(1, 9, "11")), byVersion)
	tests := []struct {
		name     string
		registry sparregistry.Registry
		version  uint64
		at       sparregistry.Position
		problems int
	}{
		{"older version", read(2, 4, entry(2, 4, "9")), 11, sparregistry.Position{Era: 1, Revision: 9}, 1},
		{"no document", read(2, 4), 11, sparregistry.Position{Era: 1, Revision: 9}, 1},
		{"damaged document", read(2, 4, entry(2, 4, "?")), 11, sparregistry.Position{Era: 1, Revision: 9}, 1},
		{"same version", read(2, 4, entry(2, 4, "11")), 11, sparregistry.Position{Era: 2, Revision: 4}, 0},
		{"later version", read(2, 4, entry(2, 4, "13")), 13, sparregistry.Position{Era: 2, Revision: 4}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			roster := before.With(test.registry, byVersion)
			if roster.Routing.Version != test.version || roster.RoutingAt != test.at {
				t.Errorf("version %d of %v, want %d of %v", roster.Routing.Version, roster.RoutingAt, test.version, test.at)
			}
			if _, ok := roster.Route(front); !ok {
				t.Error("the route is gone")
			}
			if len(roster.Problems) != test.problems {
				t.Errorf("problems %v, want %d", roster.Problems, test.problems)
			}
			if next := roster.With(read(3, 1, entry(3, 1, "14")), byVersion); next.Routing.Version != 14 || len(next.Problems) != 0 {
				t.Errorf("version %d with problems %v after a later document", next.Routing.Version, next.Problems)
			}
		})
	}
}

// TestEvacuations covers two evacuations and a key that names no possible domain, of a length that
// neither a log line nor a status line can hold.
func TestEvacuations(t *testing.T) {
	long := strings.Repeat("d", 10_000)
	decode := func(key string, _ []byte) (sparroster.Fact, error) {
		domain := strings.TrimPrefix(key, sparroster.EvacuationPrefix)
		if domain == long {
			return nil, fmt.Errorf("domain %s", domain)
		}
		return sparroster.Evacuation{Domain: domain}, nil
	}
	r := sparregistry.Registry{}
	for i, domain := range []string{"south", long, "north"} {
		r = r.With(sparregistry.Entry{Key: sparroster.EvacuationPrefix + domain, Era: 2, Revision: uint64(i + 1)})
	}
	roster := sparroster.New(r, decode)
	if !slices.Equal(roster.Evacuated, []string{"north", "south"}) || roster.Evacuates("") || roster.Evacuates("east") {
		t.Errorf("evacuated %v", roster.Evacuated)
	}
	if at := roster.EvacuatedAt("north"); at != (sparregistry.Position{Era: 2, Revision: 3}) {
		t.Errorf("north evacuated at %v", at)
	}
	if at := roster.EvacuatedAt("east"); !at.IsZero() {
		t.Errorf("east evacuated at %v", at)
	}
	if p := roster.Problems; len(p) != 1 || len(p[0].Key) > 400 || len(p[0].Cause) > 400 {
		t.Errorf("%d problems", len(p))
	}
}
