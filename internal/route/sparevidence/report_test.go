package sparevidence_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// newBoard returns the board of vm-0 among VMs of one failure domain.
func newBoard(vms, upstreams int) *sparevidence.Board {
	b := sparevidence.New(vmName(0), 1)
	var list []sparevidence.VM
	for n := range vms {
		list = append(list, sparevidence.VM{Name: vmName(n), Domain: "north"})
	}
	b.SetVMs(list)
	b.SetUpstreams(startedAt(upstreams, 7))
	return b
}

// startedAt returns n upstreams that were started at born.
func startedAt(n int, born int64) (list []sparevidence.Upstream) {
	for id := range uint64(n) {
		list = append(list, sparevidence.Upstream{ID: id + 1, Born: born, Service: service})
	}
	return list
}

func mustReceive(t *testing.T, b *sparevidence.Board, now time.Duration, r sparevidence.Report) {
	t.Helper()
	if err := b.Receive(now, r); err != nil {
		t.Fatal(err)
	}
}

// against returns a report of vm-n against upstream 1.
func against(n int, sent time.Duration) sparevidence.Report {
	return sparevidence.Report{From: vmName(n), Run: 5, Sent: sent, Seen: 5, Bad: 1, Upstreams: []sparevidence.Entry{
		{ID: 1, Born: 7, Counts: sparevidence.Counts{Failed: 2}, Answered: sparevidence.Never},
	}}
}

// refusedReports are changes to a report that make its receiver refuse it.
var refusedReports = []struct {
	name   string
	change func(r *sparevidence.Report)
	want   sparevidence.Refusal
}{
	{"unknown VM", func(r *sparevidence.Report) { r.From = "vm-77" }, sparevidence.UnknownVM},
	{"own name", func(r *sparevidence.Report) { r.From = vmName(0) }, sparevidence.UnknownVM},
	{"count that is no number", func(r *sparevidence.Report) { r.Upstreams[0].Counts.Failed = math.NaN() }, sparevidence.OutOfRange},
	{"infinite count", func(r *sparevidence.Report) { r.Upstreams[0].Counts.Failed = math.Inf(1) }, sparevidence.OutOfRange},
	{"negative count", func(r *sparevidence.Report) { r.Upstreams[0].Counts.Opened = -1 }, sparevidence.OutOfRange},
	{"more slow answers than answers", func(r *sparevidence.Report) { r.Upstreams[0].Counts.Slow = 1 }, sparevidence.OutOfRange},
	{"more bad upstreams than seen", func(r *sparevidence.Report) { r.Bad = 6 }, sparevidence.OutOfRange},
	{"negative time", func(r *sparevidence.Report) { r.Sent = -1 }, sparevidence.OutOfRange},
	{"response time", func(r *sparevidence.Report) {
		r.Services = []sparevidence.ServiceEntry{{Service: service, Usual: 25 * time.Hour}}
	}, sparevidence.OutOfRange},
	{"very large", func(r *sparevidence.Report) { r.Upstreams = make([]sparevidence.Entry, 10_000) }, sparevidence.TooLarge},
	{"many loads", func(r *sparevidence.Report) {
		r.Services = []sparevidence.ServiceEntry{{Load: make([]sparevidence.DomainLoad, 10_000)}}
	}, sparevidence.TooLarge},
	{"duplicate", func(*sparevidence.Report) {}, sparevidence.Old},
	{"reordered", func(r *sparevidence.Report) { r.Sent -= time.Second }, sparevidence.Old},
	{"future", func(r *sparevidence.Report) { r.Sent += time.Hour }, sparevidence.Future},
}

// TestReportsAreRefused covers reports that are malformed, old or of unknown VMs: they change no weight.
func TestReportsAreRefused(t *testing.T) {
	now := time.Hour
	for _, test := range refusedReports {
		t.Run(test.name, func(t *testing.T) {
			b := newBoard(4, 10)
			mustReceive(t, b, now, against(1, time.Minute))
			r := against(1, time.Minute)
			test.change(&r)
			if err := b.Receive(now, r); !errors.Is(err, test.want) {
				t.Errorf("error %v, want %v", err, test.want)
			}
			if changes := b.Evaluate(now); len(changes) > 0 {
				t.Errorf("%+v by the reports of one VM", changes)
			}
		})
	}
}

// TestReportOfEarlierRun sends a report of a VM's earlier run after one of its present run.
func TestReportOfEarlierRun(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Hour
	mustReceive(t, b, now, against(1, time.Minute))
	next := against(1, time.Second)
	next.Run = 6
	mustReceive(t, b, now, next)
	if err := b.Receive(now, against(1, time.Minute+time.Second)); !errors.Is(err, sparevidence.Old) {
		t.Errorf("error %v", err)
	}
}

// TestLateReports delivers reports that were under way for long, after others that were not.
func TestLateReports(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Hour
	for n := 1; n <= 2; n++ {
		r := against(n, time.Minute)
		r.Upstreams = nil
		mustReceive(t, b, now, r)
	}
	for range int(13 * time.Second / step) {
		now += step
		b.Evaluate(now)
	}
	for n := 1; n <= 2; n++ {
		mustReceive(t, b, now, against(n, time.Minute+time.Second)) // 12 s under way
	}
	if changes := b.Evaluate(now); len(changes) > 0 {
		t.Errorf("%+v by reports of 12 s ago", changes)
	}
}

// TestReportsAfterAPause delivers reports that have waited while this VM was paused.
func TestReportsAfterAPause(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Hour
	b.Evaluate(now)
	now += 5 * time.Second
	if err := b.Receive(now, against(1, time.Minute)); !errors.Is(err, sparevidence.Paused) {
		t.Errorf("error %v", err)
	}
	now += 500 * time.Millisecond
	mustReceive(t, b, now, against(1, time.Minute+time.Second))
}

// TestReportsEnd checks that evidence loses its weight.
func TestReportsEnd(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Hour
	for n := 1; n <= 2; n++ {
		mustReceive(t, b, now, against(n, time.Minute))
	}
	if changes := b.Evaluate(now); len(changes) != 1 || changes[0].Weight != 0 {
		t.Fatalf("%+v, want an ejection", changes)
	}
	weight := 0.0
	for range int(3 * time.Minute / step) {
		now += step
		for _, c := range b.Evaluate(now) {
			weight = c.Weight
		}
	}
	if weight != 1 {
		t.Errorf("weight %v three minutes after the last report", weight)
	}
}

// TestRestartedUpstream checks that evidence about an earlier start of an upstream does not count.
func TestRestartedUpstream(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Hour
	b.SetUpstreams([]sparevidence.Upstream{{ID: 1, Born: 8, Service: service}, {ID: 2, Born: 7, Service: service}})
	for n := 1; n <= 3; n++ {
		mustReceive(t, b, now, against(n, time.Minute))
	}
	if changes := b.Evaluate(now); len(changes) > 0 {
		t.Errorf("%+v", changes)
	}
}

// TestLargeReportCountsLittle checks that a VM with very many samples weighs as much as one with a
// few.
func TestLargeReportCountsLittle(t *testing.T) {
	var weights []float64
	for _, failed := range []float64{4, 1e5} {
		b := newBoard(9, 10)
		now := time.Hour
		for n := 1; n <= 8; n++ {
			r := against(n, time.Minute)
			r.Upstreams[0].Counts = sparevidence.Counts{Answered: 100, Failed: 1}
			if n == 1 {
				r.Upstreams[0].Counts = sparevidence.Counts{Failed: failed}
			}
			mustReceive(t, b, now, r)
		}
		for _, c := range b.Evaluate(now) {
			weights = append(weights, c.Weight)
		}
	}
	if len(weights) == 2 && weights[0] != weights[1] {
		t.Errorf("weights %v, want the same", weights)
	}
	for _, w := range weights {
		if w < 0.5 {
			t.Errorf("weight %v by one VM of eight, want half at least", w)
		}
	}
}

// TestUsual checks that one VM cannot move the usual response time far.
func TestUsual(t *testing.T) {
	b := newBoard(6, 10)
	now := time.Hour
	for n := 1; n <= 5; n++ {
		r := against(n, time.Minute)
		r.Services = []sparevidence.ServiceEntry{{Service: service, Usual: time.Duration(n) * 10 * time.Millisecond}}
		if n == 5 {
			r.Services[0].Usual = 50 * time.Minute
		}
		mustReceive(t, b, now, r)
	}
	if got := b.Usual(service, now); got != 30*time.Millisecond {
		t.Errorf("usual response time %v, want the median of 30 ms", got)
	}
}

// TestOtherDomainsAreNoWitnesses covers VMs of another failure domain that report an upstream: the
// links between the domains may be at fault.
func TestOtherDomainsAreNoWitnesses(t *testing.T) {
	b := newBoard(1, 10)
	list := []sparevidence.VM{{Name: vmName(0), Domain: "north"}}
	for n := 1; n <= 5; n++ {
		list = append(list, sparevidence.VM{Name: vmName(n), Domain: "south"})
	}
	b.SetVMs(list)
	now := time.Minute
	for range 40 {
		for n := 1; n <= 5; n++ {
			mustReceive(t, b, now, against(n, now))
		}
		now += 100 * time.Millisecond
		if changes := b.Evaluate(now); len(changes) > 0 {
			t.Fatalf("%+v", changes)
		}
	}
}

// TestOldReportsOfARestartedUpstream covers an upstream that starts anew under its ID while reports of
// its former start still count.
func TestOldReportsOfARestartedUpstream(t *testing.T) {
	b := newBoard(6, 10)
	now := time.Minute
	for n := 1; n <= 5; n++ {
		mustReceive(t, b, now, against(n, now))
	}
	b.SetUpstreams(startedAt(10, 8))
	for range 40 {
		b.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: 1, Counts: sparevidence.Counts{Unanswered: 1}}}})
		now += 100 * time.Millisecond
		if changes := b.Evaluate(now); len(changes) > 0 {
			t.Fatalf("%+v", changes)
		}
	}
}
