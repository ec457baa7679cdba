package sparcontrol_test

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

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

// TestEvidence encodes and decodes a report with all that it can tell.
func TestEvidence(t *testing.T) {
	want := report(2)
	want.Services[0].Load = []sparevidence.DomainLoad{{Domain: "north", Requests: 3}}
	want.Services[0].Refused = 0.5
	want.Partial = true
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

// TestReportsOfManyServices covers a VM that has seen 1,300 services, of which upstreams fail: its reports
// keep to the budget, and each upstream that fails is told in its turn.
func TestReportsOfManyServices(t *testing.T) {
	const services = 1300
	for _, failing := range []int{services, 20, 0} {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			most := (failing + sparevidence.MaxNamed - 1) / sparevidence.MaxNamed // reports until each is told
			b, now := boardOfServices(services), time.Minute
			told := map[uint64]bool{}
			for reports := 1; len(told) < failing; reports++ {
				now += time.Second
				observeServices(b, now, services, failing)
				r, _ := b.Compose(now)
				if n := len(sparcontrol.EncodeEvidence(r)); n > reportBudget {
					t.Fatalf("%d bytes, want at most %d", n, reportBudget)
				}
				for _, e := range r.Upstreams {
					told[e.ID] = true
				}
				if reports > most {
					t.Fatalf("%d of %d upstreams told in %d reports, want all", len(told), failing, reports)
				}
			}
		})
	}
}

func serviceName(n int) string { return fmt.Sprintf("service-%04d", n) }

// boardOfServices returns a board with one upstream of each service and as many peers as it can have.
func boardOfServices(services int) *sparevidence.Board {
	b := sparevidence.New("edge-north-a-0", 1)
	var vms []sparevidence.VM
	for n := range sparevidence.MaxPeers + 1 {
		vms = append(vms, sparevidence.VM{Name: fmt.Sprint("edge-north-a-", n), Domain: "north"})
	}
	b.SetVMs(vms)
	var upstreams []sparevidence.Upstream
	for n := range services {
		upstreams = append(upstreams, sparevidence.Upstream{ID: 1<<63 + uint64(n), Born: 1 << 40, Service: serviceName(n)})
	}
	b.SetUpstreams(upstreams)
	return b
}

// observeServices tells a board of requests at each service, which the first ones lose in part.
func observeServices(b *sparevidence.Board, now time.Duration, services, failing int) {
	var o sparevidence.Observations
	for n := range services {
		c := sparevidence.Counts{Opened: 40, Answered: 40}
		if n < failing {
			c.Failed = 20
		}
		o.Upstreams = append(o.Upstreams, sparevidence.Observation{ID: 1<<63 + uint64(n), Counts: c})
		o.Services = append(o.Services, sparevidence.ServiceObservation{Service: serviceName(n), Waited: 2 * time.Second})
	}
	b.Observe(now, o)
}

// TestEvidenceOutOfRange covers reports that no VM sends: they are refused as they are decoded, or by the board.
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

// TestSentOutOfRange covers times that no Report can hold: in milliseconds, the last one becomes 1 ms if it wraps.
func TestSentOutOfRange(t *testing.T) {
	for _, sent := range []uint64{1 << 62, 1 << 63, 1<<64 - 1, 1<<63 + 1} {
		b, err := proto.Marshal(&sparcontrol.Datagram{Body: &sparcontrol.Datagram_Evidence{Evidence: &sparcontrol.Evidence{From: "vm-2", Sent: sent}}})
		if err != nil {
			t.Fatal(err)
		}
		if in, err := sparcontrol.Decode(b); err == nil {
			t.Errorf("%d ms: %+v", sent, in)
		}
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
