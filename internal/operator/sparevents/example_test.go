package sparevents

import (
	"fmt"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
)

// The replies of two VMs become one list in the order of their stamps. A reply that arrives twice
// counts once, and a VM that others know but that has not replied is silent.
func Example_merge() {
	first := &sparcontrol.EventsReply{Vm: "vm-1", Events: []*sparcontrol.Event{{At: 10, Kind: "started"}, {At: 30, Kind: "leaving"}}}
	second := &sparcontrol.EventsReply{Vm: "vm-2", Events: []*sparcontrol.Event{{At: 20, Kind: "started"}}}
	names := map[string]string{"10.0.0.1:7081": "vm-1", "10.0.0.2:7081": "vm-2", "10.0.0.3:7081": "vm-3"}
	t := merge([]*sparcontrol.EventsReply{first, second, first}, names)
	for _, e := range t.Events {
		fmt.Println(e.VM, e.Kind)
	}
	fmt.Println("answered", t.Answered, "silent", t.Silent)
	// Output:
	// vm-1 started
	// vm-2 started
	// vm-1 leaving
	// answered [vm-1 vm-2] silent [vm-3]
}
