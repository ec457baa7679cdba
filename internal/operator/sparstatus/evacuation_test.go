package sparstatus_test

import (
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
)

// evacuating returns the facts of a VM at a position, with an evacuation of north that was asked for
// at another one, revision 0 for none.
func evacuating(name string, era, revision, askedEra, asked uint64) *sparcontrol.FactsReply {
	facts := &sparcontrol.FactsReply{
		Vm: &sparcontrol.VM{Name: name}, State: "serving", Era: era, Revision: revision, Settled: true, Platform: true,
	}
	if asked > 0 {
		facts.Evacuations = []*sparcontrol.EvacuationFacts{{Domain: "north", Era: askedEra, Revision: asked, Flows: 3, Unrecorded: true}}
	}
	return facts
}

// TestEvacuationLines guards against lines that let an operator stop upstreams too early: that an
// evacuation is in force where a VM has not confirmed it, and that no flows are left.
func TestEvacuationLines(t *testing.T) {
	recorded := func(flows uint32) *sparcontrol.FactsReply {
		f := evacuating("a", 1, 30, 1, 30)
		f.Evacuations[0].Flows, f.Evacuations[0].Unrecorded = flows, false
		return f
	}
	unsettled := recorded(0)
	unsettled.Settled = false
	tests := []struct {
		name   string
		vms    []*sparcontrol.FactsReply
		silent []string
		want   string
		done   bool // in force everywhere as of revision 30
		ended  bool // everywhere as of revision 31
	}{
		{
			"everywhere", []*sparcontrol.FactsReply{evacuating("a", 1, 30, 1, 30), evacuating("b", 1, 31, 1, 30)}, nil,
			"ok evacuation north revision 30 in force everywhere, counted 6 flows and maybe older ones\n", true, false,
		},
		{
			"every flow on record", []*sparcontrol.FactsReply{recorded(2)}, nil,
			"ok evacuation north revision 30 in force everywhere, counted 2 flows\n", true, false,
		},
		{
			"slots change their owner", []*sparcontrol.FactsReply{unsettled}, nil,
			"ok evacuation north revision 30 in force everywhere, counted 0 flows and maybe older ones\n", true, false,
		},
		{
			"one has not heard", []*sparcontrol.FactsReply{evacuating("a", 1, 30, 1, 30), evacuating("b", 1, 29, 1, 0)}, nil,
			"hold evacuation north revision 30 confirmed by 1 of 2 VMs\n", false, false,
		},
		{
			"one has an earlier request", []*sparcontrol.FactsReply{evacuating("a", 1, 30, 1, 30), evacuating("b", 1, 29, 1, 20)}, nil,
			"hold evacuation north revision 30 confirmed by 1 of 2 VMs\n", false, false,
		},
		{
			"ended at one", []*sparcontrol.FactsReply{evacuating("a", 1, 30, 1, 30), evacuating("b", 1, 31, 1, 0)}, nil,
			"hold evacuation north revision 30 ended at 1 of 2 VMs\n", false, false,
		},
		{"ended everywhere", []*sparcontrol.FactsReply{evacuating("a", 1, 31, 1, 0), evacuating("b", 1, 32, 1, 0)}, nil, "", false, true},
		{"ended, one behind", []*sparcontrol.FactsReply{evacuating("a", 1, 31, 1, 0), evacuating("b", 1, 29, 1, 0)}, nil, "", false, false},
		{"ended, one in an earlier era", []*sparcontrol.FactsReply{evacuating("a", 2, 31, 1, 0), evacuating("b", 1, 40, 1, 0)}, nil, "", false, false},
		{
			"one does not answer", []*sparcontrol.FactsReply{evacuating("a", 1, 30, 1, 30)}, []string{"b"},
			"retry evacuation north revision 30 confirmed by 1 VMs, the others are unknown\n", false, false,
		},
		{"ended, one does not answer", []*sparcontrol.FactsReply{evacuating("a", 1, 31, 1, 0)}, []string{"b"}, "", false, false},
		{
			"kept from before a restore", []*sparcontrol.FactsReply{evacuating("a", 2, 10, 1, 30)}, nil,
			"hold evacuation north revision 30 kept from before a restore, the platform does not hold it\n", false, false,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := sparstatus.FromSurvey(&sparcontrol.SurveyReply{Answered: test.vms, Silent: test.silent})
			if text := r.Text(); !strings.Contains(text, test.want) || test.want == "" && strings.Contains(text, "evacuation") {
				t.Errorf("no line %q in\n%s", test.want, text)
			}
			if got := r.Evacuated("north", 30); got != test.done {
				t.Errorf("in force everywhere: %t", got)
			}
			if r.Evacuated("", 0) || r.Evacuated("south", 0) || r.Evacuated("north", 31) {
				t.Error("another evacuation is in force everywhere")
			}
			if got := r.EvacuationEnded("north", 31); got != test.ended {
				t.Errorf("ended everywhere: %t", got)
			}
		})
	}
	t.Run("nobody answers", func(t *testing.T) {
		r := sparstatus.Report{}
		if r.EvacuationEnded("north", 0) || r.Evacuated("north", 0) {
			t.Error("something is confirmed")
		}
	})
}

// TestEvacuatedUpstreamLines guards against a line that says that new flows go to an upstream of an
// evacuated domain, and checks that the loss of a whole service is called out.
func TestEvacuatedUpstreamLines(t *testing.T) {
	vm := func(name string, evacuated, draining bool) *sparcontrol.FactsReply {
		return &sparcontrol.FactsReply{
			Vm: &sparcontrol.VM{Name: name}, State: "serving", Revision: 30, Settled: true, Platform: true,
			Services: []*sparcontrol.ServiceFacts{{Name: "booking", Revision: 30, Upstreams: []*sparcontrol.UpstreamFacts{
				{At: 0x0a00000100000050, Flows: 2, Evacuated: evacuated, Unrecorded: true},
				{At: 0x0a00000200000050, Flows: 1, Draining: draining, Healthy: true, Unrecorded: true},
			}}},
		}
	}
	const unavailable = "call service booking takes no new flows, its upstreams are in evacuated domains or drain\n"
	tests := []struct {
		name   string
		vms    []*sparcontrol.FactsReply
		silent []string
		want   string
		called bool
	}{
		{"everywhere", []*sparcontrol.FactsReply{vm("a", true, false), vm("b", true, false)}, nil, "evacuated revision 30, counted 4 flows and maybe older ones\n", false},
		{"at one", []*sparcontrol.FactsReply{vm("a", true, false), vm("b", false, false)}, nil, "evacuated revision 30 at 1 of 2 VMs, counted 4 flows\n", false},
		{"one does not answer", []*sparcontrol.FactsReply{vm("a", true, true)}, []string{"b"}, "evacuated revision 30, its flows are unknown\n", false},
		{"the others drain", []*sparcontrol.FactsReply{vm("a", true, true), vm("b", true, true)}, nil, unavailable, true},
		{"the others drain, at one", []*sparcontrol.FactsReply{vm("a", true, true), vm("b", false, true)}, nil, "hold upstream", false},
		{"all drain", []*sparcontrol.FactsReply{vm("a", false, true)}, nil, "draining revision 30", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := sparstatus.FromSurvey(&sparcontrol.SurveyReply{Answered: test.vms, Silent: test.silent}).Text()
			if !strings.Contains(text, test.want) || strings.Contains(text, unavailable) != test.called {
				t.Errorf("no line %q in\n%s", test.want, text)
			}
		})
	}
}

// TestServiceNamedLikeAnEvacuation guards against a status that ends with a panic: a team may be called
// evacuation.
func TestServiceNamedLikeAnEvacuation(t *testing.T) {
	f := evacuating("a", 1, 30, 0, 0)
	f.Services = []*sparcontrol.ServiceFacts{{Name: "evacuation/shop", Era: 1, Revision: 30}}
	r := sparstatus.FromSurvey(&sparcontrol.SurveyReply{Answered: []*sparcontrol.FactsReply{f}})
	if want := "ok service evacuation/shop revision 30 in force everywhere"; !strings.Contains(r.Text(), want) {
		t.Errorf("status %q, want a line %q", r.Text(), want)
	}
}
