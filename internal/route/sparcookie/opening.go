package sparcookie

import "time"

const (
	// pauseLimit is the time between two checks of openings from which on this VM was paused: then
	// responses may be unread.
	pauseLimit = 100 * time.Millisecond
	// catchUpTime is how long this VM needs after its start or a pause to handle the packets that
	// arrived meanwhile: responses, and SYNs whose clients may have given up.
	catchUpTime = 300 * time.Millisecond
	// stalePause is the time since the last check of openings from which on SYNs that waited meanwhile may be
	// of flows that are open elsewhere: the fabric takes a VM out of rotation after two probes without an
	// answer, 500 ms apart, and other VMs get the copies.
	stalePause = 500 * time.Millisecond
	// maxOpenings bounds the SYNs that wait for synAckTimeout: those of 5,000 new flows a second.
	maxOpenings = 256
)

// opening is a SYN whose response is not yet due.
type opening struct {
	upstream *upstream
	at       time.Duration
}

// JustPaused reports whether this VM was paused, or had no settings, so recently that it may not have read
// all responses. A pause that no tick has noticed yet counts.
func (e *Engine) JustPaused() bool {
	return e.now-e.pausedAt < catchUpTime || e.now-e.checkedAt >= pauseLimit
}

// noteOpening records a SYN sent to u, which has to be answered within synAckTimeout.
func (e *Engine) noteOpening(u *upstream) {
	u.syn.lastAt = e.now
	if len(e.openings) < maxOpenings && !e.JustPaused() {
		e.openings = append(e.openings, opening{upstream: u, at: e.now})
	}
}

// checkOpenings notes the SYNs whose response has become due and has not arrived.
func (e *Engine) checkOpenings() {
	if pause := e.now - e.checkedAt; pause >= pauseLimit {
		e.openings = e.openings[:0]
		e.pausedAt = e.now
		if pause >= stalePause && e.checkedAt > 0 {
			e.staleUntil = e.now + catchUpTime
		}
	}
	e.checkedAt = e.now
	due := 0
	for _, o := range e.openings {
		if e.now-o.at < synAckTimeout {
			break
		}
		due++
		if o.upstream.lastResponse < o.at {
			e.seenOf(o.upstream).Unanswered++
			e.noteMissedSYN(o)
		}
	}
	e.openings = append(e.openings[:0], e.openings[due:]...)
}

// ejectMissedSYN ejects an upstream that has left a SYN unanswered for synAckTimeout. A response on any
// flow ends the ejection.
func (e *Engine) ejectMissedSYN(u *upstream) {
	since := u.syn.unansweredSince
	if since > 0 && e.now-since >= synAckTimeout && u.health.AcceptsFlows() && e.now-u.syn.lastAt >= synAckTimeout {
		e.emitHealth(u, u.health.Ejected(e.now))
	}
}
