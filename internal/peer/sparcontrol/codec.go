package sparcontrol

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/member/sparmember"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparstream"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

type (
	// Input is a decoded datagram. It is a sealed interface: Report, Message,
	// ReceivedNotification, ReceivedReceipt, ReceivedQuery, ReceivedDeparture,
	// ReceivedEvidence, ReceivedProbe or ReceivedProbeAnswer.
	Input interface {
		input()
	}

	// Report is a heartbeat with the clock stamp and loads sent along with it.
	Report struct {
		Heartbeat sparmember.Heartbeat
		Stamp     spartimeline.Stamp
		Loads     []ServiceLoad
	}

	// ServiceLoad holds the number of open flows per upstream, in the order in which
	// the service document at Revision lists them.
	ServiceLoad struct {
		Service  string
		Revision uint64
		Flows    []int
	}

	// Message is a stream frame sent by the VM called Name.
	Message struct {
		Name  string
		Frame sparstream.Frame[sparroute.Message]
	}
)

func (Report) input()               {}
func (Message) input()              {}
func (ReceivedNotification) input() {}
func (ReceivedReceipt) input()      {}
func (ReceivedQuery) input()        {}
func (ReceivedDeparture) input()    {}

// EncodeBeat encodes a heartbeat as a datagram.
func EncodeBeat(r Report) []byte {
	h := r.Heartbeat
	beat := &Beat{
		Vm: &VM{Name: h.VM.Name}, Full: h.Full, Incarnation: h.Incarnation, Owns: h.Owns, Leaving: h.Leaving,
		Synced: h.Synced, Era: h.At.Era, Revision: h.At.Revision, Digest: h.Digest, View: h.View, Deaf: h.Unreachable,
		Stamp: uint64(r.Stamp),
	}
	if h.Full {
		beat.Vm = FromVM(h.VM)
	}
	for _, l := range r.Loads {
		beat.Loads = append(beat.Loads, &Load{
			Service: l.Service, Revision: l.Revision, Flows: convert(l.Flows, func(n int) uint32 { return uint32(n) }),
		})
	}
	return marshal(&Datagram{Body: &Datagram_Beat{Beat: beat}})
}

// EncodeFrame encodes a stream frame as a datagram.
func EncodeFrame(m Message) []byte {
	f := &Frame{Name: m.Name, Pair: m.Frame.Pair, Seq: m.Frame.Seq, Ack: m.Frame.Ack}
	switch body := m.Frame.Body.(type) {
	case sparroute.Sync:
		f.Body = &Frame_Sync{Sync: &Sync{
			Service: body.Service, Reset_: convert(body.Reset, widen), Bases: convert(body.Defaults, fromDefault),
			Pins: convert(body.Flows, fromFlows), Removed: convert(body.Removed, fromKey),
		}}
	case sparroute.Handover:
		f.Body = &Frame_Handover{Handover: &Handover{
			Service: body.Service, Reset_: convert(body.Reset, widen), Pins: convert(body.Flows, fromFlows),
		}}
	case sparroute.HandoverEnd:
		f.Body = &Frame_Finish{Finish: &Finish{Service: body.Service, Bases: convert(body.Defaults, fromDefault)}}
	}
	return marshal(&Datagram{Body: &Datagram_Frame{Frame: f}})
}

// Decode decodes a datagram. It returns an error if the datagram is not valid.
func Decode(b []byte) (in Input, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotate(err, "control datagram")
		}
	}()
	var d Datagram
	if err := proto.Unmarshal(b, &d); err != nil {
		return nil, err
	}
	switch body := d.Body.(type) {
	case *Datagram_Beat:
		return decodeBeat(body.Beat)
	case *Datagram_Frame:
		return decodeFrame(body.Frame)
	case *Datagram_Notice:
		return decodeNotification(body.Notice)
	case *Datagram_Receipt:
		return decodeReceipt(body.Receipt)
	case *Datagram_Query:
		return decodeQuery(body.Query)
	case *Datagram_Departure:
		return decodeDeparture(body.Departure)
	case *Datagram_Evidence:
		return decodeEvidence(body.Evidence)
	case *Datagram_Probe:
		return decodeProbe(body.Probe)
	case *Datagram_ProbeAnswer:
		return decodeProbeAnswer(body.ProbeAnswer)
	}
	return nil, errors.New("no body")
}

func decodeBeat(b *Beat) (r Report, err error) {
	vm := b.GetVm().ToVM()
	if err := sparconfig.CheckName(vm.Name); err != nil {
		return Report{}, err
	}
	r = Report{
		Heartbeat: sparmember.Heartbeat{
			VM: vm, Full: b.Full, Incarnation: b.Incarnation, Owns: b.Owns, Leaving: b.Leaving,
			Synced: b.Synced, At: sparregistry.Position{Era: b.Era, Revision: b.Revision}, Digest: b.Digest, View: b.View, Unreachable: b.Deaf,
		},
		Stamp: spartimeline.Stamp(b.Stamp),
	}
	for _, l := range b.Loads {
		r.Loads = append(r.Loads, ServiceLoad{
			Service: l.Service, Revision: l.Revision, Flows: convert(l.Flows, func(n uint32) int { return int(n) }),
		})
	}
	return r, nil
}

func decodeFrame(f *Frame) (m Message, err error) {
	m = Message{Name: f.Name, Frame: sparstream.Frame[sparroute.Message]{
		Pair: f.Pair, Seq: f.Seq, Ack: f.Ack,
	}}
	switch body := f.Body.(type) {
	case *Frame_Sync:
		m.Frame.Body = sparroute.Sync{
			Service: body.Sync.Service, Reset: convert(body.Sync.Reset_, narrow), Defaults: convert(body.Sync.Bases, toDefault),
			Flows: convert(body.Sync.Pins, toFlows), Removed: convert(body.Sync.Removed, toKey),
		}
	case *Frame_Handover:
		m.Frame.Body = sparroute.Handover{
			Service: body.Handover.Service, Reset: convert(body.Handover.Reset_, narrow),
			Flows: convert(body.Handover.Pins, toFlows),
		}
	case *Frame_Finish:
		m.Frame.Body = sparroute.HandoverEnd{Service: body.Finish.Service, Defaults: convert(body.Finish.Bases, toDefault)}
	}
	if m.Frame.Seq != 0 && m.Frame.Body == nil {
		return Message{}, errors.New("frame without a body")
	}
	return m, nil
}

// FromVM converts vm to its protobuf message.
func FromVM(vm sparconfig.VM) *VM {
	return &VM{Name: vm.Name, Domain: vm.Domain, Data: vm.Data, Control: vm.Control, Size: uint32(vm.Size)}
}

// ToVM converts v to a live VM of the settings. A nil v gives one without a name.
func (v *VM) ToVM() sparconfig.VM {
	return sparconfig.VM{
		Name: v.GetName(), Domain: v.GetDomain(), Data: v.GetData(), Control: v.GetControl(), State: sparconfig.Live,
		Size: int(v.GetSize()),
	}
}

// convert converts each element of a list. It returns nil for an empty list.
func convert[A, B any](list []A, to func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i, a := range list {
		out[i] = to(a)
	}
	return out
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // only strings that aren't UTF-8 fail, and names are checked
	}
	return b
}

func widen(n uint16) uint32         { return uint32(n) }
func narrow(n uint32) uint16        { return uint16(min(n, 1<<16-1)) }
func fromKey(k sparflow.Key) uint64 { return uint64(k) }
func toKey(k uint64) sparflow.Key   { return sparflow.Key(k) }
func fromDefault(d sparroute.DefaultUpstream) *Base {
	return &Base{Home: uint64(d.Upstream), Complete: d.Complete, Slots: convert(d.Slots, widen)}
}
func toDefault(b *Base) sparroute.DefaultUpstream {
	return sparroute.DefaultUpstream{Upstream: sparflow.Endpoint(b.Home), Complete: b.Complete, Slots: convert(b.Slots, narrow)}
}
func fromFlows(f sparroute.Flows) *Pins {
	return &Pins{Home: uint64(f.Upstream), Opening: f.Opening, Doubt: f.Unverified, Keys: convert(f.Keys, fromKey)}
}
func toFlows(p *Pins) sparroute.Flows {
	return sparroute.Flows{Upstream: sparflow.Endpoint(p.Home), Opening: p.Opening, Unverified: p.Doubt, Keys: convert(p.Keys, toKey)}
}
