package sparcontrol_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// TestDatagrams encodes and decodes the messages between VMs of the cookie carrier.
func TestDatagrams(t *testing.T) {
	vm := sparconfig.VM{Name: "vm-1", Domain: "north", Data: "10.1.0.1:1", Control: "10.1.0.1:2", State: sparconfig.Live}
	timing := sparsync.Timing{
		Sent: sparsync.Timestamp{Incarnation: 11, At: 12 * time.Second}, Echo: sparsync.Timestamp{Incarnation: 13, At: 14 * time.Second}, Held: 15 * time.Millisecond,
	}
	notification := sparsync.Notification{From: vm, Reader: "vm-2", Round: 3, At: sparregistry.Position{Era: 2, Revision: 4}, Digest: 5, Age: 6 * time.Millisecond, Timing: timing}
	query := sparsync.Query{From: vm, Synced: true, Age: 7 * time.Millisecond, Timing: timing}
	departure := sparleave.Departure{From: "vm-1", Refusing: true}
	tests := []struct {
		name  string
		bytes []byte
		want  sparcontrol.Input
	}{
		{"notification", sparcontrol.EncodeNotification(notification), sparcontrol.ReceivedNotification{Notification: notification}},
		{"query", sparcontrol.EncodeQuery(query), sparcontrol.ReceivedQuery{Query: query}},
		{"receipt", sparcontrol.EncodeReceipt(vm, timing), sparcontrol.ReceivedReceipt{From: sparconfig.VM{Name: "vm-1", State: sparconfig.Live}, Timing: timing}},
		{"departure", sparcontrol.EncodeDeparture(departure), sparcontrol.ReceivedDeparture{Departure: departure}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := sparcontrol.Decode(test.bytes)
			if err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("%+v, error %v, want %+v", got, err, test.want)
			}
		})
	}
}

// TestNamelessDatagramsAreRefused decodes messages without a VM name, which no VM sends.
func TestNamelessDatagramsAreRefused(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"departure":    sparcontrol.EncodeDeparture(sparleave.Departure{Refusing: true}),
		"receipt":      sparcontrol.EncodeReceipt(sparconfig.VM{}, sparsync.Timing{}),
		"query":        sparcontrol.EncodeQuery(sparsync.Query{}),
		"notification": sparcontrol.EncodeNotification(sparsync.Notification{}),
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := sparcontrol.Decode(bytes); err == nil {
				t.Errorf("%+v, want an error", got)
			}
		})
	}
}

// TestDeltas encodes and decodes a full copy and deltas of a registry. A delta must also
// remove a deleted key at the receiver.
func TestDeltas(t *testing.T) {
	at := func(revision uint64) sparregistry.Position { return sparregistry.Position{Era: 2, Revision: revision} }
	stamp := sparregistry.Stamp{Start: 8, Count: 9}
	registry := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{
		{Key: "a", Value: []byte("1"), Era: 2, Revision: 3, Stamp: stamp}, {Key: "b", Value: []byte("2"), Era: 2, Revision: 5, Stamp: stamp},
	}, at(6)).With(sparregistry.Entry{Key: "a", Era: 2, Revision: 7, Deleted: true})
	for _, after := range []uint64{0, 4, 7} {
		want := registry.Delta(at(after))
		if len(want.Entries) == 0 {
			want.Entries = nil
		}
		got, err := sparcontrol.DecodeDelta(sparcontrol.EncodeDelta(want))
		if err != nil {
			t.Fatal(err)
		}
		follower, complete := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{
			{Key: "a", Value: []byte("1"), Era: 2, Revision: 3},
		}, at(4)).WithDelta(got)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("after %d: %+v, want %+v", after, got, want)
		}
		if _, held := follower.Get("a"); after == 4 && (!complete || held || follower.Digest() != registry.Digest()) {
			t.Errorf("after %d: complete: %v, the deleted key is present: %v", after, complete, held)
		}
	}
}

// TestAgesOutOfRange decodes ages that lie in the future when converted to times. Old
// settings would look fresh forever with them.
func TestAgesOutOfRange(t *testing.T) {
	from := sparconfig.VM{Name: "vm-1", Domain: "a", Data: "10.0.0.1:1", Control: "10.0.0.1:2"}
	for name, bytes := range map[string][]byte{
		"notification": sparcontrol.EncodeNotification(sparsync.Notification{From: from, Reader: "vm-1", Round: 1, Age: -time.Hour}),
		"query":        sparcontrol.EncodeQuery(sparsync.Query{From: from, Synced: true, Age: -time.Hour}),
		"outage":       sparcontrol.EncodeQuery(sparsync.Query{From: from, Outages: []sparsync.Outage{{VM: "vm-1", Age: -time.Hour}}}),
		"sent":         sparcontrol.EncodeReceipt(from, sparsync.Timing{Sent: sparsync.Timestamp{At: -time.Hour}}),
		"echo":         sparcontrol.EncodeReceipt(from, sparsync.Timing{Echo: sparsync.Timestamp{At: -time.Hour}}),
		"held":         sparcontrol.EncodeReceipt(from, sparsync.Timing{Held: -time.Hour}),
	} {
		t.Run(name, func(t *testing.T) {
			if got, err := sparcontrol.Decode(bytes); err == nil {
				t.Errorf("%+v, want an error", got)
			}
		})
	}
}

// TestDamagedDeltas decodes deltas that are truncated or declare a size above the limit.
func TestDamagedDeltas(t *testing.T) {
	whole := sparcontrol.EncodeDelta(sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{
		{Key: "a", Value: []byte("1"), Revision: 3}, {Key: "b", Value: []byte("2"), Revision: 5},
	}, sparregistry.Position{Revision: 6}).Delta(sparregistry.Position{}))
	for n := range whole {
		if got, err := sparcontrol.DecodeDelta(whole[:n]); err == nil {
			t.Errorf("the first %d of %d bytes are decoded as %+v, want an error", n, len(whole), got)
		}
	}
	if _, err := sparcontrol.DecodeDelta([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 0}); err == nil {
		t.Error("a delta of 4 GB is accepted")
	}
}
