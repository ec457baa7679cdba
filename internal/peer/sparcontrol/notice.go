package sparcontrol

import (
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// maxAge bounds the ages that VMs tell: longer than any of them runs.
const maxAge = 10 * 365 * 24 * time.Hour

type (
	// Told is a notice of a peer about its settings.
	Told struct {
		Notice sparsync.Notice
	}

	// Received says that a notice arrived at a peer.
	Received struct {
		From sparconfig.VM
	}

	// Departed is a peer's word that it was told to stop.
	Departed struct {
		Departure sparleave.Departure
	}

	// Asked is a peer's question whether the settings here are more recent.
	Asked struct {
		Query sparsync.Query
	}
)

// EncodeNotice returns a notice in wire form.
func EncodeNotice(n sparsync.Notice) []byte {
	return marshal(&Datagram{Body: &Datagram_Notice{Notice: &Notice{
		From: FromVM(n.From), Reader: n.Reader, Round: n.Round,
		Revision: n.Revision, Digest: n.Digest, Age: uint64(n.Age.Microseconds()),
	}}})
}

// EncodeReceipt returns a receipt in wire form.
func EncodeReceipt(from sparconfig.VM) []byte {
	return marshal(&Datagram{Body: &Datagram_Receipt{Receipt: &Receipt{From: &VM{Name: from.Name}}}})
}

func decodeNotice(n *Notice) (told Told, err error) {
	vm := n.GetFrom().ToVM()
	if err := sparconfig.CheckName(vm.Name); err != nil {
		return Told{}, err
	}
	if err := vm.Check(); err != nil {
		return Told{}, err
	}
	if n.Reader == "" || n.Round == 0 {
		return Told{}, errors.New("notice without a reader")
	}
	age, err := ToAge(n.Age)
	return Told{Notice: sparsync.Notice{
		From: vm, Reader: n.Reader, Round: n.Round, Revision: n.Revision, Digest: n.Digest, Age: age,
	}}, err
}

// ToAge returns the age that a peer gives in microseconds. One that no VM reaches is an
// error: taken for a time it could lie in the future, and old settings would look fresh.
func ToAge(us uint64) (age time.Duration, err error) {
	if us > uint64(maxAge.Microseconds()) {
		return 0, errors.Errorf("an age of %d us, expected at most %s", us, maxAge)
	}
	return time.Duration(us) * time.Microsecond, nil
}

// EncodeQuery returns a query in wire form.
func EncodeQuery(q sparsync.Query) []byte {
	return marshal(&Datagram{Body: &Datagram_Query{Query: &Query{
		From: FromVM(q.From), Synced: q.Synced, Age: uint64(q.Age.Microseconds()),
		Outages: convert(q.Outages, fromOutage),
	}}})
}

func decodeQuery(q *Query) (asked Asked, err error) {
	vm := q.GetFrom().ToVM()
	if err := sparconfig.CheckName(vm.Name); err != nil {
		return Asked{}, err
	}
	if err := vm.Check(); err != nil {
		return Asked{}, err
	}
	age, err := ToAge(q.Age)
	if err != nil {
		return Asked{}, err
	}
	asked = Asked{Query: sparsync.Query{From: vm, Synced: q.Synced, Age: age}}
	for _, o := range q.Outages {
		since, err := ToAge(o.Age)
		if err != nil {
			return Asked{}, err
		}
		asked.Query.Outages = append(asked.Query.Outages, sparsync.Outage{VM: o.Vm, Age: since})
	}
	return asked, nil
}

func fromOutage(o sparsync.Outage) *Outage {
	return &Outage{Vm: o.VM, Age: uint64(o.Age.Microseconds())}
}

// EncodeDeparture returns a departure in wire form.
func EncodeDeparture(d sparleave.Departure) []byte {
	return marshal(&Datagram{Body: &Datagram_Departure{Departure: &Departure{From: d.From, Refusing: d.Refusing}}})
}

func decodeDeparture(d *Departure) (departed Departed, err error) {
	return Departed{Departure: sparleave.Departure{From: d.From, Refusing: d.Refusing}}, sparconfig.CheckName(d.From)
}
