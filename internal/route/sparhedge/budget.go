package sparhedge

import "time"

const (
	// burst is the number of openings that may be sent twice at once: one upstream that falls
	// silent has a few under way.
	burst = 4
	// suspension is how long nothing is sent twice after Suspend.
	suspension = time.Second
)

// Budget limits how many openings are sent twice to a share of all openings. It starts empty, so
// the limit holds from the first one on. The zero Budget allows none.
type Budget struct {
	share          float64
	tokens         float64 // openings that may be sent twice now
	suspendedUntil time.Duration
}

// NewBudget returns a budget for a share of the openings.
func NewBudget(share float64) Budget { return Budget{share: share} }

// Opened counts an opening.
func (b *Budget) Opened() { b.tokens = min(b.tokens+b.share, burst) }

// Take reports whether one more opening may be sent twice now, and counts it if so.
func (b *Budget) Take(now time.Duration) bool {
	if b.tokens < 1 || b.Suspended(now) {
		return false
	}
	b.tokens--
	return true
}

// Suspend allows none for a while, since what is sent twice would add to a shortage.
func (b *Budget) Suspend(now time.Duration) { b.suspendedUntil = now + suspension }

// Suspended reports whether none are allowed for a while.
func (b *Budget) Suspended(now time.Duration) bool { return now < b.suspendedUntil }
