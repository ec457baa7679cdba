package sparquota

import (
	"math"
	"time"
)

// Holders is the number of VMs that share the limit of an upstream: the death of one or two leaves it some
// openings, and they are so few that a small limit gives each a whole one.
const Holders = 3

// Limit returns the number of openings that an upstream may get in a second.
func Limit(rate, overage, slack float64) float64 { return rate*overage + slack }

// Part returns how many openings in a second the VM with the rank may send to an upstream. The
// parts of all ranks add up to the limit, rounded down, and fall with the rank.
func Part(limit float64, rank int) int {
	if rank >= Holders || !(limit >= 1) { // also if it is not a number
		return 0
	}
	whole := int(math.Min(limit, Holders*maxCount))
	part := whole / Holders
	if rank < whole%Holders {
		part++
	}
	return part
}

// Rate is a limit that falls at once and rises after a wait, when all VMs with fresh settings
// know the higher one. The zero Rate has no limit yet.
type Rate struct {
	set     bool
	inForce float64
	next    float64
	risesAt time.Duration // when next comes into force
}

// Set replaces the limit, which may be infinite.
func (r *Rate) Set(now, wait time.Duration, limit float64) {
	held := r.Value(now)
	switch {
	case !r.set || limit <= held:
		*r = Rate{set: true, inForce: limit, next: limit}
	case limit != r.next:
		r.inForce, r.next, r.risesAt = held, limit, now+wait
	}
}

// Value returns the limit in force.
func (r *Rate) Value(now time.Duration) float64 {
	if !r.set {
		return math.Inf(1)
	}
	if now >= r.risesAt {
		r.inForce = r.next
	}
	return r.inForce
}
