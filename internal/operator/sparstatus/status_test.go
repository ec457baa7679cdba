package sparstatus_test

import (
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
)

// TestInForceAcrossEras guards against a revision that is reported to be in force everywhere
// although VMs hold that of two eras of a restored platform, or only one of an earlier era.
func TestInForceAcrossEras(t *testing.T) {
	vm := func(name string, era, serviceEra, revision uint64, restoring bool) *sparcontrol.FactsReply {
		return &sparcontrol.FactsReply{
			Vm: &sparcontrol.VM{Name: name}, State: "serving", Era: era, Revision: revision, Restoring: restoring, Settled: true, Platform: true,
			Services: []*sparcontrol.ServiceFacts{{Name: "booking", Era: serviceEra, Revision: revision}},
		}
	}
	tests := []struct {
		name string
		vms  []*sparcontrol.FactsReply
		want []string
		word sparstatus.Word
	}{
		{
			"all in the new era", []*sparcontrol.FactsReply{vm("a", 2, 2, 30, false), vm("b", 2, 2, 30, false)},
			[]string{"ok status 1 revision 30 ", "ok service booking revision 30 in force everywhere"}, sparstatus.OK,
		},
		{
			"one in the earlier era", []*sparcontrol.FactsReply{vm("a", 1, 1, 30, false), vm("b", 2, 2, 30, false)},
			[]string{
				"hold service booking revision 30 confirmed by 1 of 2 VMs",
				"hold platform restored from an older copy, 1 of 2 VMs have settled on it",
			}, sparstatus.Hold,
		},
		{
			"a higher revision of the earlier era", []*sparcontrol.FactsReply{vm("a", 1, 1, 40, false), vm("b", 2, 2, 30, false)},
			[]string{"hold status 1 revision 30 ", "hold service booking revision 30 confirmed by 1 of 2 VMs"}, sparstatus.Hold,
		},
		{
			"kept from the earlier era", []*sparcontrol.FactsReply{vm("a", 2, 1, 30, true), vm("b", 2, 1, 30, true)},
			[]string{
				"hold service booking revision 30 kept from before a restore, the platform does not hold it",
				"hold platform restored from an older copy, 0 of 2 VMs have settled on it",
			}, sparstatus.Hold,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := sparstatus.FromSurvey(&sparcontrol.SurveyReply{Answered: test.vms})
			for _, line := range test.want {
				if !strings.Contains(r.Text(), line) {
					t.Errorf("no line %q in\n%s", line, r.Text())
				}
			}
			if r.Word() != test.word {
				t.Errorf("word %s, want %s", r.Word(), test.word)
			}
		})
	}
}
