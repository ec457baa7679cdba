package sparevidence_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// progress is a response of upstream 1 that goes on.
var progress = sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: 1, Progressed: true}}}

// TestLongResponses covers an upstream that two VMs have lost, while it streams a response to a client
// of this VM and gets no new request here.
func TestLongResponses(t *testing.T) {
	b := newBoard(4, 10)
	const began = time.Minute
	for now := began + step; now < began+5*time.Second; now += step {
		b.Observe(now, progress)
		for n := 1; n <= 2; n++ {
			r := against(n, now)
			r.Upstreams[0].Streak = now - began
			mustReceive(t, b, now, r)
		}
		for _, c := range b.Evaluate(now) {
			if c.Weight == 0 {
				t.Fatalf("%+v, while the upstream answers a client of this VM", c)
			}
		}
	}
}

// TestProgressIsReported checks that the others are told of it.
func TestProgressIsReported(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Minute
	for n := 1; n <= 2; n++ {
		mustReceive(t, b, now, against(n, now))
	}
	now += step
	b.Observe(now, progress)
	r, due := b.Compose(now)
	if !due || len(r.Upstreams) != 1 || r.Upstreams[0].ID != 1 || r.Upstreams[0].Answered != 0 {
		t.Errorf("report %+v, due %v, want the progress of upstream 1", r, due)
	}
}

// TestProgressAloneIsSilent checks that nothing is said of long responses while all is well.
func TestProgressAloneIsSilent(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Minute
	b.Observe(now, progress)
	if r, due := b.Compose(now); due {
		t.Errorf("report %+v", r)
	}
}
