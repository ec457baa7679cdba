package sparnode_test

import (
	"fmt"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
)

// A node that has read the platform sends heartbeats to the other VM that is registered there.
func ExampleNode_Tick() {
	file := sparconfig.File{
		Name: "vm-1", Domain: "north", Data: "10.0.0.1:6081", Control: "10.0.0.1:7081", Fabric: "10.0.0.9:6080",
		Platform: "10.0.0.8:8500", Secret: labSecret, Flows: sparconfig.DefaultFlows,
	}
	wall := time.Unix(1_800_000_000, 0)
	n := sparnode.New(file, 1, 0, wall)
	other := sparconfig.VM{Domain: "south", Data: "10.0.0.2:6081", Control: "10.0.0.2:7081", State: sparconfig.Live}
	n.MergeRead([]sparregistry.Entry{{Key: sparconfig.VMKey("vm-2"), Value: other.Text(), Revision: 7}}, 7)
	for now := time.Duration(0); now < time.Second; now += sparnode.TickEvery {
		for _, out := range n.Tick(now, wall.Add(now)) {
			if beat, ok := out.(sparnode.Beat); ok {
				fmt.Println(now, "heartbeat to", beat.To.Name, "at", beat.To.Control)
			}
		}
	}
	// Output:
	// 300ms heartbeat to vm-2 at 10.0.0.2:7081
	// 600ms heartbeat to vm-2 at 10.0.0.2:7081
	// 900ms heartbeat to vm-2 at 10.0.0.2:7081
}
