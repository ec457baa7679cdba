package sparconfig_test

import (
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// TestEvacuations covers values of operators, and odd keys and values of other writers.
func TestEvacuations(t *testing.T) {
	tests := []struct {
		name, domain, value string
		inForce, problem    bool
	}{
		{"asked for", "north", string(sparconfig.EvacuationDocument{}.Text()), true, false},
		{"ended", "north", string(sparconfig.EvacuationDocument{Ended: true}.Text()), false, false},
		{"empty value", "north", "", true, true},
		{"no JSON", "north", "yes", true, true},
		{"other type", "north", `{"ended":"true"}`, true, true},
		{"unknown field", "north", `{"ended":true,"by":"x"}`, true, true},
		{"nested", "north", strings.Repeat("[", 1<<20), true, true},
		{"no domain", "", "{}", false, true},
		{"upper case", "North", "{}", false, true},
		{"path", "north/2", "{}", false, true},
		{"long", strings.Repeat("d", 10_000), "{}", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := sparregistry.Registry{}.With(
				sparregistry.Entry{Key: sparconfig.EvacuationKey(test.domain), Value: []byte(test.value), Era: 1, Revision: 5},
				sparregistry.Entry{Key: sparconfig.EvacuationKey("south"), Value: []byte("{}"), Era: 1, Revision: 6},
			)
			s := sparconfig.Snapshot{}.With(r)
			if s.Evacuates(test.domain) != test.inForce || !s.Evacuates("south") || s.Evacuates("east") {
				t.Errorf("evacuations %+v", s.Evacuations)
			}
			if (len(s.Problems) > 0) != test.problem {
				t.Errorf("problems %+v", s.Problems)
			}
			for _, p := range s.Problems {
				if len(p.Service) > 400 || len(p.Cause) > 400 {
					t.Errorf("a problem of %d and %d bytes", len(p.Service), len(p.Cause))
				}
			}
		})
	}
}

// TestEvacuationBesideRefusedDocument checks that the last valid document, which stays in force, gets
// evacuations as well.
func TestEvacuationBesideRefusedDocument(t *testing.T) {
	d, err := sparconfig.ParseDocument([]byte(`{"address": "198.51.100.1:443", "proto": "tcp",
		"upstreams": [{"at": "10.0.0.1:80", "domain": "north"}, {"at": "10.0.0.2:80"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	r := sparregistry.Registry{}.With(sparregistry.Entry{Key: sparconfig.ServiceKey("team", "booking"), Value: d.Text(), Revision: 2})
	for _, key := range d.Claims() {
		r = r.With(sparregistry.Entry{Key: key, Value: []byte("team/booking"), Revision: 1})
	}
	before := sparconfig.Snapshot{}.With(r)
	after := before.With(r.With(
		sparregistry.Entry{Key: sparconfig.ServiceKey("team", "booking"), Value: []byte("{"), Revision: 3},
		sparregistry.Entry{Key: sparconfig.EvacuationKey("north"), Value: []byte("{}"), Revision: 4},
	))
	s := after.Service("team/booking")
	if s == nil || !s.Upstreams[0].Evacuated || s.Upstreams[1].Evacuated || s.Upstreams[0].AcceptsFlows() {
		t.Errorf("in force %+v", s)
	}
	if before.Service("team/booking").Upstreams[0].Evacuated {
		t.Error("the earlier snapshot has changed")
	}
	_, err = sparconfig.ParseDocument([]byte(`{"address": "198.51.100.1:443", "proto": "tcp", "upstreams": [{"at": "10.0.0.1:80", "domain": "a/b"}]}`))
	if err == nil || !strings.Contains(err.Error(), "upstreams[0].domain") {
		t.Errorf("a domain that can't be evacuated: %v", err)
	}
}
