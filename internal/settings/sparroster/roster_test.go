package sparroster_test

import (
	"fmt"
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
		return nil, errors.New("empty")
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
	fmt.Println(roster.Problems[0].Key, roster.Problems[0].Cause)
	// Output:
	// 1 true false true
	// upstream/22 empty
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
		return decode(key, value)
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
