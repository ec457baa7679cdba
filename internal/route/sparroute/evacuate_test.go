package sparroute_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// documentAt is the revision of the document, which stays while evacuations change.
const documentAt = 6

// inDomains returns the document with its upstreams in the domains north and south by turns; the
// last one names none.
func inDomains() sparconfig.Document {
	d := document("tcp")
	for i := range d.Upstreams {
		d.Upstreams[i].Domain = [...]string{"north", "south"}[i%2]
	}
	d.Upstreams[upstreams-1].Domain = ""
	return d
}

// evacuate puts settings in force in which these domains are evacuated. The document stays at its
// revision, so only the evacuations change.
func evacuate(e *sparroute.Engine, revision uint64, domains ...string) {
	evacuateIn(e, inDomains(), documentAt, revision, domains...)
}

func evacuateIn(e *sparroute.Engine, d sparconfig.Document, at, revision uint64, domains ...string) {
	r := sparregistry.Registry{}.WithFullRead(nil, sparregistry.Position{Revision: revision})
	for _, key := range d.Claims() {
		r = r.With(sparregistry.Entry{Key: key, Value: []byte("team/booking"), Revision: 1})
	}
	r = r.With(sparregistry.Entry{Key: sparconfig.ServiceKey("team", "booking"), Value: d.Text(), Revision: at})
	for _, domain := range domains {
		r = r.With(sparregistry.Entry{Key: sparconfig.EvacuationKey(domain), Value: sparconfig.EvacuationDocument{}.Text(), Revision: revision})
	}
	e.Apply(e.Snapshot().With(r))
}

// domains returns the failure domain of each upstream.
func domains() map[sparflow.Endpoint]string {
	by := map[sparflow.Endpoint]string{}
	for i, m := range inDomains().Upstreams {
		by[upstream(i)] = m.Domain
	}
	return by
}

// TestEvacuatedUpstreams guards against new flows in an evacuated failure domain, and against open
// flows there that break.
func TestEvacuatedUpstreams(t *testing.T) {
	const first, flows = 1000, 3000
	e, at := engine("tcp", "vm-1"), domains()
	evacuate(e, 7)
	assigned := open(e, first)
	count := func(from int) (n map[string]int) {
		n = map[string]int{}
		for i := range flows {
			v := e.Forward(packet(from+i, sparroute.SYN))
			if v.Action != sparroute.ToUpstream {
				n["refused"]++
				continue
			}
			n[at[v.At]]++
			e.Return(response(from+i, v.At, sparroute.SYNACK))
		}
		return n
	}
	steps := []struct {
		name      string
		evacuated []string
		want      []string // domains that get flows; the upstream without one has its share after "two"
	}{
		{"none", nil, []string{"north", "south", ""}},
		{"one", []string{"north"}, []string{"south", ""}},
		{"two", []string{"north", "south"}, []string{""}},
		{"one has ended", []string{"south"}, []string{"north"}},
		{"all have ended", nil, []string{"north", "south"}},
	}
	for i, step := range steps {
		evacuate(e, uint64(10+i), step.evacuated...)
		e.Tick()
		got := count(first + i*flows)
		for _, domain := range step.want {
			if got[domain] == 0 {
				t.Errorf("%s: no flows in domain %q", step.name, domain)
			}
		}
		for _, domain := range step.evacuated {
			if got[domain] > 0 {
				t.Errorf("%s: %d flows in domain %q", step.name, got[domain], domain)
			}
		}
		if got["refused"] > 0 {
			t.Errorf("%s: %d flows refused", step.name, got["refused"])
		}
		for i, want := range assigned {
			if v := e.Forward(packet(i, sparroute.Data)); v.Action != sparroute.ToUpstream || v.At != want {
				t.Fatalf("%s: open flow %d at %s: action %d, %s", step.name, i, want, v.Action, v.At)
			}
		}
	}
}

// TestAllUpstreamsEvacuated checks that new flows are refused at once where nothing is left.
func TestAllUpstreamsEvacuated(t *testing.T) {
	e := engine("tcp", "vm-1")
	evacuate(e, 7, "north", "south")
	assertAction(t, e.Forward(packet(1, sparroute.SYN)), sparroute.ToUpstream)
	d, _ := inDomains().WithDrain(upstream(upstreams-1).String(), wall.Add(time.Hour))
	evacuateIn(e, d, 8, 8, "north", "south")
	assertAction(t, e.Forward(packet(2, sparroute.SYN)), sparroute.Refuse)
}
