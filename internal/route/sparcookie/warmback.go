package sparcookie

import "math"

// noteReturn records that u has answered again after an ejection.
func (e *Engine) noteReturn(u *upstream, changed bool) {
	if changed && u.quota != nil {
		u.quota.back = e.now
	}
	e.emitHealth(u, changed)
}

// leftToHolders reports whether u may have restarted under its ID without the settings saying so yet: it
// has answered again after an ejection, and they are of before its next heartbeat. Then only
// holders use it, unless nothing else is left.
func (e *Engine) leftToHolders(u *upstream) bool {
	q := u.quota
	if q == nil || q.back == 0 || math.IsInf(q.rate.Value(e.now), 1) || e.warm.lease.CompleteAt() > q.back+e.warm.beat {
		return false
	}
	return q.window.Count(e.now) >= e.part(u)
}
