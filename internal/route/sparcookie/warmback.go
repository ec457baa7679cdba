package sparcookie

import (
	"math"
	"time"
)

// noteReturn records that u has answered again after an ejection.
func (e *Engine) noteReturn(u *upstream, changed bool) {
	if changed {
		e.markBack(u)
	}
	e.emitHealth(u, changed)
}

// markBack records that u is back from a failure that this VM has seen, of its own or of its failure
// domain.
func (e *Engine) markBack(u *upstream) {
	if u.quota != nil {
		u.quota.back = e.now
	}
}

// returnTime is how long an upstream that has answered again may be left to its holders: longer than a
// restart and its warm-up usually take. Settings that are stale for longer must not keep it idle.
const returnTime = 10 * time.Second

// leftToHolders reports whether u may have restarted under its ID without the settings saying so yet: it
// has answered again after a failure, and they are of before its next heartbeat. Then only
// holders use it, unless nothing else is left.
func (e *Engine) leftToHolders(u *upstream) bool {
	q := u.quota
	if q == nil || q.back == 0 || e.now-q.back > returnTime || math.IsInf(q.rate.Value(e.now), 1) || e.warm.lease.CompleteAt() > q.back+e.warm.beat {
		return false
	}
	return q.window.Count(e.now) >= e.part(u)
}
