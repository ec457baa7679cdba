// Package sparevidence shares evidence about upstreams between VMs.
//
// A VM of a large deployment sees each upstream rarely. A Board holds what this VM has seen
// and what others report, and derives a weight for new flows per upstream: 1, less, or 0 for
// an ejected one. Only evidence of two VMs changes a weight, and that of four while requests merely
// hang. What one VM sees alone is the business of its own engine:
//
//	b := sparevidence.New("vm-1", run)
//	b.SetVMs(vms)
//	b.SetUpstreams(upstreams)
//	b.Observe(now, observations)         // what this VM has seen since the last call
//	err := b.Receive(now, report)        // of another VM
//	for _, c := range b.Evaluate(now) {  // weights that have changed
//		engine.SetWeight(c.Upstream.ID, c.Weight)
//	}
//	report, ok := b.Compose(now)         // for others, if there is something to say
//
// A Board does no I/O and reads no clock.
package sparevidence

import (
	"math"
	"time"
)

const (
	// span is the decay time of counts. At a few requests a second in all, those of two VMs
	// to the same failing upstream are seconds apart.
	span = 5 * time.Second
	// reportAge is the age at which a report ends.
	reportAge = 3 * span
	// leastCount is the decayed count of failures from which on a VM is a witness: one failure
	// within the last 8 s.
	leastCount = 0.2
	// vmSamples bounds what one VM contributes: its counts are scaled down to as many samples.
	vmSamples = 4
)

type (
	// VM is an entry VM that may report.
	VM struct {
		Name, Domain string
	}

	// Upstream is an upstream in the settings. Born tells apart two starts with one ID.
	Upstream struct {
		ID      uint64
		Born    int64
		Service string
	}

	// Counts is what a VM has seen of an upstream or of a service. The counts decay with time.
	Counts struct {
		Opened     float64 // openings that were answered
		Unanswered float64 // openings that were not
		Answered   float64 // requests that were answered
		Slow       float64 // of these, those that took several times the usual time
		Failed     float64 // requests that are overdue or were given up
	}

	// Observation is what a VM has seen of an upstream since the last one.
	Observation struct {
		ID         uint64
		Counts     Counts
		Progressed bool // a response that is under way went on
		Hanging    bool // a request waits for long whose flow may have moved, and none was answered since it came
	}

	// ServiceObservation is what a VM has seen of a service since the last one.
	ServiceObservation struct {
		Service string
		Waited  time.Duration  // by all requests that were answered
		Load    map[string]int // requests under way, by failure domain
		Refused int            // openings
	}

	// Observations is what a VM has seen since the last ones.
	Observations struct {
		Upstreams []Observation
		Services  []ServiceObservation
	}

	// tally is a decaying count.
	tally struct {
		counts Counts
		at     time.Duration
	}
)

// Failures returns the openings and requests without an answer.
func (c Counts) Failures() float64 { return c.Unanswered + c.Failed }

// withoutFailures returns what was answered.
func (c Counts) withoutFailures() Counts { return Counts{Opened: c.Opened, Answered: c.Answered} }

// samples returns everything that was counted.
func (c Counts) samples() float64 { return c.Opened + c.Unanswered + c.Answered + c.Failed }

func (c Counts) plus(o Counts) Counts {
	return Counts{
		Opened: c.Opened + o.Opened, Unanswered: c.Unanswered + o.Unanswered,
		Answered: c.Answered + o.Answered, Slow: c.Slow + o.Slow, Failed: c.Failed + o.Failed,
	}
}

func (c Counts) times(x float64) Counts {
	return Counts{Opened: c.Opened * x, Unanswered: c.Unanswered * x, Answered: c.Answered * x, Slow: c.Slow * x, Failed: c.Failed * x}
}

// bounded returns the counts scaled down to vmSamples openings and as many requests.
func (c Counts) bounded() Counts {
	openings, requests := scale(c.Opened+c.Unanswered), scale(c.Answered+c.Failed)
	return Counts{
		Opened: c.Opened * openings, Unanswered: c.Unanswered * openings,
		Answered: c.Answered * requests, Slow: c.Slow * requests, Failed: c.Failed * requests,
	}
}

func scale(samples float64) float64 { return min(1, vmSamples/max(samples, 1)) }

// FailureRatio returns the greater of the shares of openings and of requests that failed.
func (c Counts) FailureRatio() float64 {
	return max(ratio(c.Unanswered, c.Opened), ratio(c.Failed, c.Answered))
}

// SlowRatio returns the share of slow answers.
func (c Counts) SlowRatio() float64 { return ratio(c.Slow, c.Answered-c.Slow) }

// ratio returns the share of bad in bad and good, 0 for next to nothing.
func ratio(bad, good float64) float64 {
	if bad < leastCount {
		return 0
	}
	return bad / (bad + max(good, 0))
}

func decay(age time.Duration) float64 { return math.Exp(-float64(max(age, 0)) / float64(span)) }

// value returns the counts as they are worth now.
func (t tally) value(now time.Duration) Counts { return t.counts.times(decay(now - t.at)) }

// with returns the tally with new counts added.
func (t tally) with(now time.Duration, c Counts) tally {
	return tally{counts: t.value(now).plus(c), at: now}
}
