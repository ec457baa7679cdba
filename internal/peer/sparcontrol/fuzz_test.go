package sparcontrol_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// FuzzDecode decodes arbitrary datagrams. A notification or query that is accepted has a VM
// name and no negative age, which would be a time in the future.
func FuzzDecode(f *testing.F) {
	vm := sparconfig.VM{Name: "vm-1", Domain: "north", Data: "10.1.0.1:1", Control: "10.1.0.1:2"}
	f.Add(sparcontrol.EncodeNotification(sparsync.Notification{From: vm, Reader: "vm-2", Round: 3, At: sparregistry.Position{Revision: 4}, Digest: 5, Age: time.Second}))
	f.Add(sparcontrol.EncodeQuery(sparsync.Query{From: vm, Synced: true, Age: time.Second, Outages: []sparsync.Outage{{VM: "vm-3", Age: time.Second}}}))
	f.Add(sparcontrol.EncodeReceipt(vm, sparsync.Timing{Held: 1}))
	f.Add(sparcontrol.EncodeDeparture(sparleave.Departure{From: "vm-1", Refusing: true}))
	f.Fuzz(func(t *testing.T, b []byte) {
		in, err := sparcontrol.Decode(b)
		if err != nil {
			return
		}
		switch in := in.(type) {
		case sparcontrol.ReceivedNotification:
			if in.Notification.From.Name == "" || in.Notification.Age < 0 {
				t.Errorf("%+v", in)
			}
		case sparcontrol.ReceivedQuery:
			if in.Query.From.Name == "" || in.Query.Age < 0 {
				t.Errorf("%+v", in)
			}
			for _, o := range in.Query.Outages {
				if o.Age < 0 {
					t.Errorf("%+v", in)
				}
			}
		}
	})
}

// FuzzDecodeDelta decodes damaged deltas and merges those that are accepted.
func FuzzDecodeDelta(f *testing.F) {
	f.Add(sparcontrol.EncodeDelta(sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{
		{Key: "a", Value: []byte("1"), Revision: 3}, {Key: "b", Value: []byte("2"), Revision: 5},
	}, sparregistry.Position{Revision: 6}).Delta(sparregistry.Position{})))
	f.Fuzz(func(_ *testing.T, b []byte) {
		s, err := sparcontrol.DecodeDelta(b)
		if err == nil {
			sparregistry.Registry{}.WithDelta(s)
		}
	})
}
