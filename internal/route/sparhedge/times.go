// Package sparhedge decides when an opening that has no answer yet is sent to a second upstream,
// and how many of them are.
//
// Times estimates how long openings take, Budget limits the share that is sent twice, and Queue
// holds those that wait for an answer:
//
//	times.Record(waited, now)
//	budget.Opened()
//	if delay, ok := times.Delay(); ok {
//		slot, ok = queue.Add(key, now) // later: queue.Next, and budget.Take once delay has passed
//	}
//
// It does no I/O, reads no clock, and allocates nothing after its creation.
package sparhedge

import (
	"math"
	"time"
)

const (
	// tailQuantile of the opening times is the delay after which an opening is sent again.
	tailQuantile = 0.99
	// bulkQuantile is the quantile that most openings stay below also while some upstreams are down.
	bulkQuantile = 0.9
	// maxBulks times the bulkQuantile is the longest delay: upstreams that are down could lift the
	// tailQuantile to the time after which clients send their SYN again.
	maxBulks = 4

	// minDelay is above what a busy VM may add to an opening itself.
	minDelay = 2 * time.Millisecond
	// maxDelay is the longest useful delay: clients send their SYN again after 200 ms.
	maxDelay = 150 * time.Millisecond
	// minTimes is the number of opening times, by weight, below which they tell no quantile.
	minTimes = 30
	// halfLife is the time after which an opening time has half of its weight.
	halfLife = 30 * time.Second

	// bucketsPerDoubling is the number of buckets between a time and its double: a quantile is at
	// most 19% too high.
	bucketsPerDoubling = 4
	// firstBucket is the upper bound of the first bucket, which is shorter than any opening of interest.
	firstBucket = 250 * time.Microsecond
	// bucketCount is such that the last bucket begins at 11 s, far above maxDelay.
	bucketCount = 64
)

// Times is the distribution of the opening times of late. The zero Times is empty.
type Times struct {
	weights   [bucketCount]float64
	total     float64
	decayedAt time.Duration
}

// Record adds the time that an opening took.
func (t *Times) Record(waited, now time.Duration) {
	for now-t.decayedAt >= halfLife && t.total > 0 {
		t.decay()
		t.decayedAt += halfLife
	}
	if t.total == 0 {
		t.decayedAt = now
	}
	t.weights[bucketOf(waited)]++
	t.total++
}

// decay halves all weights.
func (t *Times) decay() {
	t.total = 0
	for i := range t.weights {
		t.weights[i] /= 2
		t.total += t.weights[i]
	}
	if t.total < 1 {
		*t = Times{decayedAt: t.decayedAt}
	}
}

// Quantile returns an upper bound of the share q of the opening times.
func (t *Times) Quantile(q float64) time.Duration {
	left := q * t.total
	for i, weight := range t.weights {
		left -= weight
		if left <= 0 {
			return boundOf(i)
		}
	}
	return boundOf(bucketCount - 1)
}

// Delay returns how long an opening may take before it is sent to a second upstream. ok is false if
// too few opening times are known, or if the client sends its SYN again by then.
func (t *Times) Delay() (delay time.Duration, ok bool) {
	if t.total < minTimes {
		return 0, false
	}
	delay = max(minDelay, min(t.Quantile(tailQuantile), maxBulks*t.Quantile(bulkQuantile)))
	return delay, delay <= maxDelay
}

// bucketOf returns the bucket of a time.
func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	doublings := math.Log2(float64(d) / float64(firstBucket))
	return min(int(math.Ceil(doublings*bucketsPerDoubling)), bucketCount-1)
}

// boundOf returns the upper bound of a bucket.
func boundOf(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Exp2(float64(i)/bucketsPerDoubling))
}
