package sparquota_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparquota"
)

// TestWindowIsExact compares the window with a plain list of events, at bursts and lulls: a burst of
// clients, then none for a while.
func TestWindowIsExact(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var w sparquota.Window
		var all []time.Duration
		now := time.Duration(0)
		for range 3000 {
			now += time.Duration(rng.ExpFloat64()*float64(time.Millisecond)) * time.Duration(rng.IntN(10))
			if rng.IntN(50) == 0 {
				now += time.Duration(rng.IntN(1500)) * time.Millisecond
			}
			if got, want := w.Count(now), min(countSince(all, now-time.Second), 1024); got != want {
				t.Fatalf("seed %d at %v: count %d, want %d", seed, now, got, want)
			}
			w.Add(now)
			all = append(all, now)
		}
	}
}

func countSince(events []time.Duration, from time.Duration) (n int) {
	for i := len(events) - 1; i >= 0 && events[i] >= from; i-- {
		n++
	}
	return n
}

// TestWindowBoundary checks that two events exactly one second apart count in the same second:
// windows of the promise slide and include both ends.
func TestWindowBoundary(t *testing.T) {
	var w sparquota.Window
	w.Add(time.Second)
	if w.Count(2*time.Second) != 1 || w.Count(2*time.Second+1) != 0 {
		t.Error("an event must count up to one second later, and no longer")
	}
}

// TestWindowMemory floods a window with requests of open flows, which nothing holds back.
func TestWindowMemory(t *testing.T) {
	var w sparquota.Window
	for i := range 100_000 {
		w.Add(time.Duration(i))
	}
	if got := w.Count(100_000); got != 1024 {
		t.Errorf("count %d, want the largest one", got)
	}
	if n := testing.AllocsPerRun(100, func() { w.Add(200_000) }); n != 0 {
		t.Errorf("%v allocations of a full window, want none", n)
	}
}

// TestParts checks that the parts add up to the limit, for limits below 1, uneven, huge or absurd
// ones.
func TestParts(t *testing.T) {
	for limit, want := range map[float64]int{
		0: 0, 0.4: 0, 0.999: 0, 1: 1, 2.9: 2, 3: 3, 11: 11, 12.5: 12, -3: 0, 1e300: 3 * 1024,
		math.Inf(1): 3 * 1024, math.Inf(-1): 0,
	} {
		sum, last := 0, math.MaxInt
		for rank := range 10 {
			part := sparquota.Part(limit, rank)
			if part > last {
				t.Errorf("limit %v: part %d of rank %d is above the one before, %d", limit, part, rank, last)
			}
			sum, last = sum+part, part
		}
		if sum != want {
			t.Errorf("limit %v: parts add up to %d, want %d", limit, sum, want)
		}
	}
	if sparquota.Part(math.NaN(), 0) != 0 {
		t.Error("a limit that is no number must allow nothing")
	}
}

// TestRateRisesLate changes the warm rate of a service while its upstreams warm up.
func TestRateRisesLate(t *testing.T) {
	var r sparquota.Rate
	check := func(now time.Duration, want float64) {
		t.Helper()
		if got := r.Value(now); got != want {
			t.Errorf("at %v: limit %v, want %v", now, got, want)
		}
	}
	check(0, math.Inf(1))
	r.Set(1, 10, 5)
	check(1, 5)
	r.Set(2, 10, 8)
	check(11, 5)
	r.Set(8, 10, 8) // the same settings again
	check(12, 8)
	r.Set(13, 10, math.Inf(1))
	check(22, 8)
	r.Set(22, 10, 3)
	check(22, 3)
	check(40, 3)
}
