package sparhedge_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparhedge"
)

// Example sends an opening that takes longer than usual to a second upstream.
func Example() {
	var times sparhedge.Times
	budget := sparhedge.NewBudget(0.05)
	queue := sparhedge.NewQueue[string](8)
	now := time.Second
	for range 100 { // openings that were answered at once
		budget.Opened()
		times.Record(3*time.Millisecond, now)
	}
	delay, _ := times.Delay()
	slot, _ := queue.Add("100.64.0.7:40001", now)
	now += delay
	if item, ok := queue.Next(now - delay); ok && budget.Take(now) {
		fmt.Println(item.Key, item.Slot == slot, now-item.Began < 5*time.Millisecond)
	}
	// Output: 100.64.0.7:40001 true true
}

// ExampleTimes takes 1,000 openings of 3 ms, of which one in fifty takes longer.
func ExampleTimes() {
	var times sparhedge.Times
	for i := range 1000 {
		waited := 3 * time.Millisecond
		if i%50 == 0 {
			waited = 210 * time.Millisecond
		}
		times.Record(waited, time.Duration(i)*time.Millisecond)
	}
	delay, ok := times.Delay()
	fmt.Println(delay.Round(time.Millisecond), ok)
	// Output: 13ms true
}

// TestQuantiles checks quantiles against the values that they are estimates of: never below, and
// at most one bucket above.
func TestQuantiles(t *testing.T) {
	var times sparhedge.Times
	for i := range 10_000 {
		times.Record(time.Duration(i+1)*10*time.Microsecond, time.Second)
	}
	for _, q := range []float64{0.1, 0.5, 0.9, 0.99, 1} {
		exact := time.Duration(q * 100 * float64(time.Millisecond))
		if got := times.Quantile(q); got < exact || float64(got) > 1.2*float64(exact) {
			t.Errorf("quantile %v is %v, want %v", q, got, exact)
		}
	}
}

// TestDelay checks when nothing is said: too few openings, or openings so slow that a client sends
// its SYN again by then. Odd times must not harm.
func TestDelay(t *testing.T) {
	for _, c := range []struct {
		name   string
		n      int
		waited time.Duration
		want   bool
	}{
		{"few", 29, time.Millisecond, false},
		{"enough", 30, time.Millisecond, true},
		{"slow", 1000, 300 * time.Millisecond, false},
		{"immediate", 1000, 0, true},
		{"negative", 1000, -time.Hour, true},
		{"endless", 1000, 1 << 62, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var times sparhedge.Times
			for range c.n {
				times.Record(c.waited, time.Second)
			}
			delay, ok := times.Delay()
			if ok != c.want || ok && (delay < 2*time.Millisecond || delay > 150*time.Millisecond) {
				t.Errorf("%v %v, want %v", delay, ok, c.want)
			}
		})
	}
}

// TestTimesDecay checks that the delay follows openings that have become faster, or slower, within
// minutes, and that nothing is said after a long silence.
func TestTimesDecay(t *testing.T) {
	var times sparhedge.Times
	now := time.Second
	record := func(waited time.Duration, d time.Duration) time.Duration {
		for end := now + d; now < end; now += 100 * time.Millisecond {
			times.Record(waited, now)
		}
		delay, _ := times.Delay()
		return delay
	}
	slow := record(20*time.Millisecond, time.Minute)
	fast := record(3*time.Millisecond, 5*time.Minute)
	again := record(20*time.Millisecond, 5*time.Minute)
	if slow < 20*time.Millisecond || fast > 15*time.Millisecond || again < 20*time.Millisecond {
		t.Errorf("delays %v, %v, %v for openings of 20, 3 and 20 ms", slow, fast, again)
	}
	now += time.Hour
	times.Record(time.Millisecond, now)
	if _, ok := times.Delay(); ok {
		t.Error("a delay after an hour of silence")
	}
}

// TestBudgetLimits checks the limit at any moment of any mixture of openings and attempts.
func TestBudgetLimits(t *testing.T) {
	for _, share := range []float64{0, 0.001, 0.02, 0.1} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			b := sparhedge.NewBudget(share)
			opened, taken := 0, 0
			for i := range 200_000 {
				if rng.IntN(1+i/1000) < 20 {
					b.Opened()
					opened++
				}
				if b.Take(time.Second) {
					taken++
				}
				if float64(taken) > share*float64(opened)+1e-6 {
					t.Fatalf("%d of %d openings", taken, opened)
				}
			}
			if float64(taken) < share*float64(opened)*0.95-5 {
				t.Errorf("only %d of %d openings", taken, opened)
			}
		})
	}
}

// TestBudgetBurst checks that calm hours save up no more than a few.
func TestBudgetBurst(t *testing.T) {
	b := sparhedge.NewBudget(0.1)
	for range 100_000 {
		b.Opened()
	}
	b.Suspend(time.Second)
	if b.Take(time.Second) || b.Take(time.Second+900*time.Millisecond) {
		t.Error("allowed while suspended")
	}
	taken := 0
	for b.Take(3 * time.Second) {
		taken++
	}
	if taken < 2 || taken > 8 {
		t.Errorf("%d at once, want a few", taken)
	}
}

// TestQueue checks the order, the reuse of slots and the limit of a queue.
func TestQueue(t *testing.T) {
	q := sparhedge.NewQueue[int](4)
	if _, ok := q.Next(time.Hour); ok {
		t.Error("an item of an empty queue")
	}
	next := 0
	for i := range 100 {
		slot, ok := q.Add(i, time.Duration(i))
		if want := q.Len() <= 4 && slot == i%4; !ok || !want {
			t.Fatalf("opening %d: slot %d, %v", i, slot, ok)
		}
		if q.Len() < 4 {
			continue
		}
		if _, ok := q.Add(i, time.Duration(i)); ok {
			t.Fatal("a fifth one added")
		}
		if _, ok := q.Next(time.Duration(next - 1)); ok {
			t.Fatal("taken off before its time")
		}
		item, ok := q.Next(time.Duration(next))
		if !ok || item.Key != next || item.Slot != next%4 || item.Began != time.Duration(next) {
			t.Fatalf("%v %v, want opening %d", item, ok, next)
		}
		next++
	}
}

// TestNoAllocations checks what every opening calls.
func TestNoAllocations(t *testing.T) {
	var times sparhedge.Times
	q := sparhedge.NewQueue[int](8)
	b := sparhedge.NewBudget(0.1)
	if n := testing.AllocsPerRun(1000, func() {
		times.Record(time.Millisecond, time.Second)
		times.Delay()
		b.Opened()
		q.Add(1, time.Second)
		q.Next(time.Second)
	}); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
