package sparcontrol_test

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// reportBudget is the size of a report in bytes that a VM can send to each of its peers once a
// second within 4 KB/s.
const reportBudget = 4096 / sparevidence.MaxPeers

func report(upstreams int) sparevidence.Report {
	r := sparevidence.Report{From: "edge-north-a-17", Run: 5, Sent: 6 * time.Second, Seen: 7, Bad: 1, Services: []sparevidence.ServiceEntry{
		{Service: "booking", Usual: 17 * time.Millisecond, Others: sparevidence.Counts{Opened: 12, Answered: 40.25, Slow: 1.5}},
	}}
	for n := range upstreams {
		r.Upstreams = append(r.Upstreams, sparevidence.Entry{
			ID: 0x7f3a5739c64d1000 + uint64(n), Born: 0xf0000001, Counts: sparevidence.Counts{Opened: 2, Answered: 1.75, Failed: 1.25},
			Answered: 1500 * time.Millisecond, Failed: 0, Streak: sparevidence.Never,
		})
	}
	return r
}

func TestEvidence(t *testing.T) {
	want := report(2)
	want.Services[0].Load = []sparevidence.DomainLoad{{Domain: "north", Requests: 3}}
	want.Services[0].Refused = 0.5
	got, err := sparcontrol.Decode(sparcontrol.EncodeEvidence(want))
	if err != nil || !reflect.DeepEqual(got, sparcontrol.ReceivedEvidence{Report: want}) {
		t.Errorf("%+v, error %v, want %+v", got, err, want)
	}
}

// TestEvidenceFitsTheBudget encodes the largest usual report.
func TestEvidenceFitsTheBudget(t *testing.T) {
	if n := len(sparcontrol.EncodeEvidence(report(sparevidence.MaxNamed))); n > reportBudget {
		t.Errorf("%d bytes, want at most %d", n, reportBudget)
	}
}

func TestEvidenceOutOfRange(t *testing.T) {
	tests := map[string]func(r *sparevidence.Report){
		"nameless":     func(r *sparevidence.Report) { r.From = "" },
		"very large":   func(r *sparevidence.Report) { *r = report(1000) },
		"future":       func(r *sparevidence.Report) { r.Sent = 1 << 62 },
		"negative":     func(r *sparevidence.Report) { r.Sent = -time.Hour },
		"old event":    func(r *sparevidence.Report) { r.Upstreams[0].Answered = time.Hour },
		"slow service": func(r *sparevidence.Report) { r.Services[0].Usual = -time.Second },
		"slow answers": func(r *sparevidence.Report) { r.Upstreams[0].Counts.Slow = 1e5 },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			r := report(1)
			change(&r)
			in, err := sparcontrol.Decode(sparcontrol.EncodeEvidence(r))
			if err != nil {
				return
			}
			b := sparevidence.New("vm-1", 1)
			b.SetVMs([]sparevidence.VM{{Name: "vm-1"}, {Name: r.From}})
			if err := b.Receive(time.Hour, in.(sparcontrol.ReceivedEvidence).Report); !errors.Is(err, sparevidence.OutOfRange) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// FuzzEvidence hands arbitrary datagrams to a board. What it takes leaves each weight in [0, 1].
func FuzzEvidence(f *testing.F) {
	f.Add(sparcontrol.EncodeEvidence(report(2)))
	f.Add(sparcontrol.EncodeEvidence(report(0)))
	f.Fuzz(func(t *testing.T, data []byte) {
		in, err := sparcontrol.Decode(data)
		e, ok := in.(sparcontrol.ReceivedEvidence)
		if err != nil || !ok {
			return
		}
		b := sparevidence.New("vm-1", 1)
		b.SetVMs([]sparevidence.VM{{Name: "vm-1"}, {Name: "edge-north-a-17"}, {Name: e.Report.From}})
		id := uint64(1)
		if len(e.Report.Upstreams) > 0 {
			id = e.Report.Upstreams[0].ID
			b.SetUpstreams([]sparevidence.Upstream{{ID: id, Born: int64(e.Report.Upstreams[0].Born)}})
		}
		b.Observe(time.Hour, sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: id, Counts: sparevidence.Counts{Failed: 2}}}})
		_ = b.Receive(time.Hour, e.Report)
		for _, c := range b.Evaluate(time.Hour + 2*time.Second) {
			if !(c.Weight >= 0 && c.Weight <= 1) {
				t.Errorf("weight %v", c.Weight)
			}
		}
		b.Load("booking", time.Hour)
		b.Usual("booking", time.Hour)
	})
}
