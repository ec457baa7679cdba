package sparcontrol

import (
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

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
	return Told{Notice: sparsync.Notice{
		From: vm, Reader: n.Reader, Round: n.Round, Revision: n.Revision, Digest: n.Digest,
		Age: time.Duration(n.Age) * time.Microsecond,
	}}, nil
}

// EncodeQuery returns a query in wire form.
func EncodeQuery(q sparsync.Query) []byte {
	return marshal(&Datagram{Body: &Datagram_Query{Query: &Query{
		From: FromVM(q.From), Synced: q.Synced, Age: uint64(q.Age.Microseconds()),
	}}})
}

func decodeQuery(q *Query) (asked Asked, err error) {
	vm := q.GetFrom().ToVM()
	if err := sparconfig.CheckName(vm.Name); err != nil {
		return Asked{}, err
	}
	return Asked{Query: sparsync.Query{
		From: vm, Synced: q.Synced, Age: time.Duration(q.Age) * time.Microsecond,
	}}, vm.Check()
}

// EncodeDeparture returns a departure in wire form.
func EncodeDeparture(d sparleave.Departure) []byte {
	return marshal(&Datagram{Body: &Datagram_Departure{Departure: &Departure{From: d.From, Refusing: d.Refusing}}})
}

func decodeDeparture(d *Departure) (departed Departed, err error) {
	return Departed{Departure: sparleave.Departure{From: d.From, Refusing: d.Refusing}}, sparconfig.CheckName(d.From)
}
