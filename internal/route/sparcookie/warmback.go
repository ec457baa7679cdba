package sparcookie

import (
	"math"
	"time"
)

// returnTime is how long an upstream that has answered again may be left to its holders: longer than a
// restart and its warm-up usually take. Settings that are stale for longer must not keep it idle.
const returnTime = 10 * time.Second

// noteReturn records that u has answered again after an ejection, if its health has changed.
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

// leftToHolders reports whether only holders may use u, unless nothing else is left, and this VM has used up its
// part or is no holder: u may have restarted under its ID while the settings don't say so yet.
func (e *Engine) leftToHolders(u *upstream) bool {
	return e.mayHaveRestarted(u) && u.quota.window.Count(e.now) >= e.part(u)
}

// mayHaveRestarted reports whether u, with a limit, has answered again after a failure, and the settings are
// older than the next heartbeat of u after that.
func (e *Engine) mayHaveRestarted(u *upstream) bool {
	q := u.quota
	if q == nil || q.back == 0 || e.now-q.back > returnTime || math.IsInf(q.rate.Value(e.now), 1) {
		return false
	}
	return e.warm.lease.CompleteAt() <= q.back+e.warm.beat
}
