package sparroster_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// TestEntriesOfOneID guards against an upstream that gets flows of another service, or none, because another
// writer has left an entry with its ID under another key.
func TestEntriesOfOneID(t *testing.T) {
	usable := []sparroster.Upstream{{ID: 10, Service: "a"}}
	for _, test := range []struct {
		name     string
		entries  map[string]string // services by key; the length of the key is the ID
		want     []sparroster.Upstream
		unusable []sparroster.Unusable
		problems int
	}{
		{"one", map[string]string{"upstream/1": "a"}, usable, nil, 0},
		{"the same twice", map[string]string{"upstream/1": "a", "upstream/2": "a"}, usable, nil, 0},
		{"one can't be used", map[string]string{"upstream/1": "a", "upstream/2": ""}, usable, []sparroster.Unusable{}, 1},
		{"of another service", map[string]string{"upstream/1": "a", "upstream/2": "b"}, nil, []sparroster.Unusable{{ID: 10}}, 1},
		{"the third differs", map[string]string{"upstream/1": "a", "upstream/2": "a", "upstream/3": "b"}, nil, []sparroster.Unusable{{ID: 10}}, 1},
		{
			"beside another ID", map[string]string{"upstream/1": "b", "upstream/2": "c", "upstream/33": "a"},
			[]sparroster.Upstream{{ID: 11, Service: "a"}},
			[]sparroster.Unusable{{ID: 10}}, 1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r sparregistry.Registry
			for key, service := range test.entries {
				r = r.With(sparregistry.Entry{Key: key, Value: []byte(service), Revision: 2})
			}
			roster := sparroster.New(r, decode)
			if !slices.Equal(roster.Upstreams, test.want) || !slices.Equal(roster.Unusable, test.unusable) {
				t.Errorf("upstreams %v, unusable %v, want %v, %v", roster.Upstreams, roster.Unusable, test.want, test.unusable)
			}
			if len(roster.Problems) != test.problems {
				t.Errorf("problems %v", roster.Problems)
			}
		})
	}
}

// TestManyEntriesOfOneID checks that a few hundred entries with one ID are one problem.
func TestManyEntriesOfOneID(t *testing.T) {
	var r sparregistry.Registry
	for n := range 300 {
		r = r.With(sparregistry.Entry{Key: "upstream/" + string(rune('A'+n%26)) + string(rune('A'+n/26)), Value: []byte(strings.Repeat("s", n+1)), Revision: uint64(n + 1)})
	}
	roster := sparroster.New(r, decode)
	if len(roster.Upstreams) != 0 || len(roster.Unusable) != 1 || len(roster.Problems) != 1 {
		t.Errorf("%d upstreams, unusable %v, problems %v", len(roster.Upstreams), roster.Unusable, roster.Problems)
	}
}
