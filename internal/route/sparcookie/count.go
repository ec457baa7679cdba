package sparcookie

import (
	"math"
	"time"
)

const (
	// recentSpan is the decay time of the count of recent requests to an upstream: a few
	// times the service time of a request.
	recentSpan = 60 * time.Millisecond
	// rateSpan is the decay time of the request rate of an upstream. It is long enough
	// to average out random variation, and short compared with a burst of seconds.
	rateSpan = 500 * time.Millisecond
	// abandonedSpan is the decay time of the count of abandoned requests of an upstream:
	// several client timeouts, so that the next requests of the clients go elsewhere.
	abandonedSpan = 5 * time.Second
)

// decayingCount is a count of requests with exponential decay over a span.
type decayingCount struct {
	count float64
	at    time.Duration
}

func (r *decayingCount) add(now, span time.Duration) {
	r.count = r.value(now, span) + 1
	r.at = now
}

func (r *decayingCount) value(now, span time.Duration) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(span))
}
