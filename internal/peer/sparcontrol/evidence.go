package sparcontrol

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// hundredths is the unit of the counts of an Evidence.
const hundredths = 100

// ReceivedEvidence is what a peer has seen of upstreams.
type ReceivedEvidence struct {
	Report sparevidence.Report
}

func (ReceivedEvidence) input() {}

// EncodeEvidence encodes a report about upstreams as a datagram.
func EncodeEvidence(r sparevidence.Report) []byte {
	m := &Evidence{
		From: r.From, Run: r.Run, Sent: uint64(r.Sent.Milliseconds()), Seen: uint32(r.Seen), Bad: uint32(r.Bad),
		Upstreams: convert(r.Upstreams, fromSighting), Services: convert(r.Services, fromWorkload),
	}
	if r.Partial {
		m.Services = append(m.Services, &Workload{}) // without a name: stands for the services left out
	}
	return marshal(&Datagram{Body: &Datagram_Evidence{Evidence: m}})
}

func decodeEvidence(m *Evidence) (in ReceivedEvidence, err error) {
	if err := sparconfig.CheckName(m.GetFrom()); err != nil {
		return ReceivedEvidence{}, err
	}
	if len(m.Upstreams) > sparevidence.MaxEntries || len(m.Services) > sparevidence.MaxEntries {
		return ReceivedEvidence{}, errors.Errorf("%d upstreams and %d services, expected at most %d", len(m.Upstreams), len(m.Services), sparevidence.MaxEntries)
	}
	if m.Sent > uint64(maxAge/time.Millisecond) {
		return ReceivedEvidence{}, errors.Errorf("sent %d ms after a start, expected at most %s", m.Sent, maxAge)
	}
	services := slices.DeleteFunc(slices.Clone(m.Services), func(w *Workload) bool { return w.GetService() == "" })
	return ReceivedEvidence{Report: sparevidence.Report{
		Partial: len(services) < len(m.Services), From: m.From, Run: m.Run, Sent: time.Duration(m.Sent) * time.Millisecond, Seen: int(m.Seen), Bad: int(m.Bad),
		Upstreams: convert(m.Upstreams, toSighting), Services: convert(services, toWorkload),
	}}, nil
}

func fromSighting(e sparevidence.Entry) *Sighting {
	return &Sighting{
		Id: e.ID, Born: e.Born, Counts: fromCounts(e.Counts),
		Answered: fromAge(e.Answered), Failed: fromAge(e.Failed), Streak: fromAge(e.Streak),
	}
}

func toSighting(m *Sighting) sparevidence.Entry {
	return sparevidence.Entry{
		ID: m.GetId(), Born: m.GetBorn(), Counts: toCounts(m.GetCounts()),
		Answered: toEventAge(m.GetAnswered()), Failed: toEventAge(m.GetFailed()), Streak: toEventAge(m.GetStreak()),
	}
}

// fromAge converts the age of an event, so that never is 0.
func fromAge(age time.Duration) uint32 {
	if age == sparevidence.Never {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

func toEventAge(ms uint32) time.Duration {
	if ms == 0 {
		return sparevidence.Never
	}
	return time.Duration(ms-1) * time.Millisecond
}

func fromCounts(c sparevidence.Counts) *Tally {
	return &Tally{
		Opened: fromCount(c.Opened), Unanswered: fromCount(c.Unanswered),
		Answered: fromCount(c.Answered), Slow: fromCount(c.Slow), Failed: fromCount(c.Failed),
	}
}

func toCounts(m *Tally) sparevidence.Counts {
	return sparevidence.Counts{
		Opened: toCount(m.GetOpened()), Unanswered: toCount(m.GetUnanswered()),
		Answered: toCount(m.GetAnswered()), Slow: toCount(m.GetSlow()), Failed: toCount(m.GetFailed()),
	}
}

func fromCount(n float64) uint32 { return uint32(min(n, sparevidence.MaxCount)*hundredths + 0.5) }
func toCount(n uint32) float64   { return float64(n) / hundredths }

func fromWorkload(e sparevidence.ServiceEntry) *Workload {
	return &Workload{
		Service: e.Service, Usual: microseconds(e.Usual), Others: fromCounts(e.Others),
		Load: convert(e.Load, fromDomainLoad), Refused: fromCount(e.Refused),
	}
}

// toWorkload converts the counts of a service. A response time beyond all measure stays so, for
// the receiver to refuse.
func toWorkload(m *Workload) sparevidence.ServiceEntry {
	usual, err := ToAge(m.GetUsual())
	if err != nil {
		usual = maxAge
	}
	return sparevidence.ServiceEntry{
		Service: m.GetService(), Usual: usual, Others: toCounts(m.GetOthers()),
		Load: convert(m.GetLoad(), toDomainLoad), Refused: toCount(m.GetRefused()),
	}
}

func fromDomainLoad(l sparevidence.DomainLoad) *DomainWork {
	return &DomainWork{Domain: l.Domain, Requests: uint32(l.Requests)}
}

func toDomainLoad(m *DomainWork) sparevidence.DomainLoad {
	return sparevidence.DomainLoad{Domain: m.GetDomain(), Requests: int(m.GetRequests())}
}
