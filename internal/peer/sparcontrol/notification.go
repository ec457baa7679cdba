package sparcontrol

import (
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

// maxAge is the largest age accepted from a peer: longer than any VM runs.
const maxAge = 10 * 365 * 24 * time.Hour

type (
	// ReceivedNotification is a peer's notification about its settings.
	ReceivedNotification struct {
		Notification sparsync.Notification
	}

	// ReceivedReceipt is a peer's receipt for a notification.
	ReceivedReceipt struct {
		From   sparconfig.VM
		Timing sparsync.Timing
	}

	// ReceivedDeparture is a peer's notification that it is stopping.
	ReceivedDeparture struct {
		Departure sparleave.Departure
	}

	// ReceivedQuery is a peer's query whether this VM has more recent settings.
	ReceivedQuery struct {
		Query sparsync.Query
	}
)

// EncodeNotification encodes a notification as a datagram.
func EncodeNotification(n sparsync.Notification) []byte {
	return marshal(&Datagram{Body: &Datagram_Notice{Notice: &Notice{
		From: FromVM(n.From), Reader: n.Reader, Round: n.Round,
		Era: n.At.Era, Revision: n.At.Revision, Digest: n.Digest, Age: microseconds(n.Age),
		Timing: fromTiming(n.Timing),
	}}})
}

// EncodeReceipt encodes a receipt sent by the VM from as a datagram.
func EncodeReceipt(from sparconfig.VM, t sparsync.Timing) []byte {
	return marshal(&Datagram{Body: &Datagram_Receipt{Receipt: &Receipt{From: &VM{Name: from.Name}, Timing: fromTiming(t)}}})
}

func decodeReceipt(r *Receipt) (in ReceivedReceipt, err error) {
	vm := r.GetFrom().ToVM()
	if err := sparconfig.CheckName(vm.Name); err != nil {
		return ReceivedReceipt{}, err
	}
	t, err := toTiming(r.GetTiming())
	return ReceivedReceipt{From: vm, Timing: t}, err
}

func decodeNotification(n *Notice) (in ReceivedNotification, err error) {
	vm := n.GetFrom().ToVM()
	if err := sparconfig.CheckName(vm.Name); err != nil {
		return ReceivedNotification{}, err
	}
	if err := vm.Check(); err != nil {
		return ReceivedNotification{}, err
	}
	if n.Reader == "" || n.Round == 0 {
		return ReceivedNotification{}, errors.New("notice without a reader")
	}
	age, err := ToAge(n.Age)
	if err != nil {
		return ReceivedNotification{}, err
	}
	t, err := toTiming(n.Timing)
	return ReceivedNotification{Notification: sparsync.Notification{
		From: vm, Reader: n.Reader, Round: n.Round,
		At: sparregistry.Position{Era: n.Era, Revision: n.Revision}, Digest: n.Digest, Age: age, Timing: t,
	}}, err
}

// fromTiming converts a timing to its message.
func fromTiming(t sparsync.Timing) *Timing {
	return &Timing{
		Run: t.Sent.Incarnation, Sent: microseconds(t.Sent.At),
		EchoRun: t.Echo.Incarnation, Echo: microseconds(t.Echo.At), Held: microseconds(t.Held),
	}
}

// toTiming converts the timing of a datagram. That of a peer which sends none is the zero Timing.
func toTiming(m *Timing) (t sparsync.Timing, err error) {
	sent, err := ToAge(m.GetSent())
	if err != nil {
		return sparsync.Timing{}, errors.Annotate(err, "sent")
	}
	echo, err := ToAge(m.GetEcho())
	if err != nil {
		return sparsync.Timing{}, errors.Annotate(err, "echo")
	}
	held, err := ToAge(m.GetHeld())
	if err != nil {
		return sparsync.Timing{}, errors.Annotate(err, "held")
	}
	return sparsync.Timing{
		Sent: sparsync.Timestamp{Incarnation: m.GetRun(), At: sent},
		Echo: sparsync.Timestamp{Incarnation: m.GetEchoRun(), At: echo}, Held: held,
	}, nil
}

// microseconds converts a time to send. A negative one becomes so large that ToAge refuses it.
func microseconds(d time.Duration) uint64 { return uint64(d.Microseconds()) }

// ToAge converts an age in microseconds received from a peer. It returns an error above
// maxAge: the time computed from such an age could lie in the future, and old settings
// would look fresh.
func ToAge(us uint64) (age time.Duration, err error) {
	if us > uint64(maxAge.Microseconds()) {
		return 0, errors.Errorf("an age of %d us, expected at most %s", us, maxAge)
	}
	return time.Duration(us) * time.Microsecond, nil
}

// EncodeQuery encodes a query as a datagram.
func EncodeQuery(q sparsync.Query) []byte {
	return marshal(&Datagram{Body: &Datagram_Query{Query: &Query{
		From: FromVM(q.From), Synced: q.Synced, Age: microseconds(q.Age),
		Outages: convert(q.Outages, fromOutage), Timing: fromTiming(q.Timing),
	}}})
}

func decodeQuery(q *Query) (in ReceivedQuery, err error) {
	vm := q.GetFrom().ToVM()
	if err := sparconfig.CheckName(vm.Name); err != nil {
		return ReceivedQuery{}, err
	}
	if err := vm.Check(); err != nil {
		return ReceivedQuery{}, err
	}
	age, err := ToAge(q.Age)
	if err != nil {
		return ReceivedQuery{}, err
	}
	t, err := toTiming(q.Timing)
	if err != nil {
		return ReceivedQuery{}, err
	}
	in = ReceivedQuery{Query: sparsync.Query{From: vm, Synced: q.Synced, Age: age, Timing: t}}
	for _, o := range q.Outages {
		outageAge, err := ToAge(o.Age)
		if err != nil {
			return ReceivedQuery{}, err
		}
		in.Query.Outages = append(in.Query.Outages, sparsync.Outage{VM: o.Vm, Age: outageAge})
	}
	return in, nil
}

func fromOutage(o sparsync.Outage) *Outage {
	return &Outage{Vm: o.VM, Age: microseconds(o.Age)}
}

// EncodeDeparture encodes a departure as a datagram.
func EncodeDeparture(d sparleave.Departure) []byte {
	return marshal(&Datagram{Body: &Datagram_Departure{Departure: &Departure{From: d.From, Refusing: d.Refusing}}})
}

func decodeDeparture(d *Departure) (in ReceivedDeparture, err error) {
	return ReceivedDeparture{Departure: sparleave.Departure{From: d.From, Refusing: d.Refusing}}, sparconfig.CheckName(d.From)
}
