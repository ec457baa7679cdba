package sparevidence_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// TestRemovedUpstreams covers two upstreams of ten that fail and are removed, while a third one loses a
// third of its requests: what the removed ones lost does not make that look usual.
func TestRemovedUpstreams(t *testing.T) {
	weight := func(removed bool) (w float64) {
		b := newBoard(2, 10)
		now := time.Minute
		see := func(id uint64, c sparevidence.Counts) {
			b.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: id, Counts: c}}})
		}
		for id := uint64(2); id <= 8; id++ {
			see(id, sparevidence.Counts{Opened: 2, Answered: 2})
		}
		if removed {
			see(9, sparevidence.Counts{Opened: 4, Failed: 4})
			see(10, sparevidence.Counts{Opened: 4, Failed: 4})
		}
		now += step
		b.SetUpstreams(startedAt(8, 7))
		w = 1
		for range 3 * time.Second / step {
			now += step
			see(1, sparevidence.Counts{Opened: 0.2, Answered: 0.1, Failed: 0.1})
			r := against(1, now)
			r.Upstreams[0].Counts = sparevidence.Counts{Answered: 2, Failed: 2}
			r.Upstreams[0].Streak = sparevidence.Never
			mustReceive(t, b, now, r)
			for _, c := range b.Evaluate(now) {
				w = c.Weight
			}
		}
		return w
	}
	if without, with := weight(false), weight(true); without != with || with == 1 {
		t.Errorf("weight %v of an upstream that loses half, %v after two others were removed, want the same, below 1", without, with)
	}
}

// TestServiceOfRemovedUpstreams checks what others are told of a service whose failing upstream was removed.
func TestServiceOfRemovedUpstreams(t *testing.T) {
	b := newBoard(2, 10)
	now := time.Minute
	b.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{
		{ID: 1, Counts: sparevidence.Counts{Opened: 4, Answered: 1, Failed: 3, Slow: 1}}, {ID: 10, Counts: sparevidence.Counts{Unanswered: 3, Failed: 4}},
	}})
	b.SetUpstreams(startedAt(9, 7))
	now += step
	r, _ := b.Compose(now)
	if len(r.Upstreams) != 1 || len(r.Services) != 1 {
		t.Fatalf("report %+v, want upstream 1 and its service", r)
	}
	if got := r.Services[0].Others; got.Failures() > 0.01 || got.Slow > 0.01 {
		t.Errorf("%+v of the others, want no failure", got)
	}
}
