package sparcontrol_test

import (
	"fmt"

	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// A heartbeat is one datagram. Only one that is full carries the addresses of its VM.
func ExampleDecode() {
	vm := sparconfig.VM{Name: "vm-1", Domain: "north", Data: "10.0.0.1:6081", Control: "10.0.0.1:7081", State: sparconfig.Live}
	for _, full := range []bool{false, true} {
		b := sparcontrol.EncodeBeat(sparcontrol.Report{Heartbeat: sparmember.Heartbeat{VM: vm, Incarnation: 1, Owns: true, Full: full}})
		in, err := sparcontrol.Decode(b)
		if report, ok := in.(sparcontrol.Report); ok {
			h := report.Heartbeat
			fmt.Printf("%s owns %v data %q\n", h.VM.Name, h.Owns, h.VM.Data)
		} else {
			fmt.Println(err)
		}
	}
	// Output:
	// vm-1 owns true data ""
	// vm-1 owns true data "10.0.0.1:6081"
}
