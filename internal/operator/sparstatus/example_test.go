package sparstatus_test

import (
	"fmt"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
)

// One VM has revision 7 of a service in force, another one has not answered: whether the revision is
// in force everywhere can't be said.
func ExampleFromSurvey() {
	report := sparstatus.FromSurvey(&sparcontrol.SurveyReply{
		Answered: []*sparcontrol.FactsReply{{
			Vm: &sparcontrol.VM{Name: "vm-1"}, State: "serving", Revision: 7, Platform: true, Settled: true,
			Services: []*sparcontrol.ServiceFacts{{Name: "kalkkirinne/booking", Revision: 7}},
		}},
		Silent: []string{"vm-2"},
	})
	fmt.Print(report.Text())
	fmt.Println("word:", report.Word())
	// Output:
	// retry status 1 revision 7 answered 1 of 2 VMs
	// retry vm vm-2 unknown, did not answer
	// ok vm vm-1 answered as serving
	// ok platform answered the last call of 1 VMs
	// retry service kalkkirinne/booking revision 7 confirmed by 1 VMs, the others are unknown
	// word: retry
}
