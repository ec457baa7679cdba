package sparcookie

import "time"

const (
	// hangingFactor times the usual response time of its service, and leastHanging at least, is the age from
	// which on a request hangs. It may be less than that at which it is overdue, since an answer to any
	// client refutes it.
	hangingFactor = 5
	leastHanging  = 200 * time.Millisecond
	// maxWaiting bounds the requests of a service that wait for it: those of 2,500 a second.
	maxWaiting = 512
)

// waitingRequest is a request that does not hang yet.
type waitingRequest struct {
	flow *flow
	at   time.Duration
}

// awaitResponse records the request of f that arrives now, which has to be answered in time.
func (e *Engine) awaitResponse(f *flow) {
	if s := f.upstream.service; s.usual > 0 && len(s.waiting) < maxWaiting {
		s.waiting = append(s.waiting, waitingRequest{flow: f, at: e.now})
	}
}

// checkWaiting notes the requests that hang by now.
func (e *Engine) checkWaiting() {
	for _, s := range e.services {
		age, due := max(leastHanging, hangingFactor*s.usual), 0
		for _, w := range s.waiting {
			if e.now-w.at < age {
				break
			}
			due++
			e.noteHanging(w)
		}
		s.waiting = append(s.waiting[:0], s.waiting[due:]...)
	}
}

// noteHanging notes an upstream at which a request hangs, if it has answered no request of this VM
// since. This is no failure: the flow may have moved to another VM, which sees the response. If it has
// shown no sign of life at all it is suspect, unless slots are short: its client may send no copy that
// would tell of a crash, since the upstream had acknowledged the request.
func (e *Engine) noteHanging(w waitingRequest) {
	f, u := w.flow, w.flow.upstream
	if f.requestedAt != w.at || f.closed || u.answeredAt >= w.at || e.JustPaused() {
		return
	}
	e.seenOf(u)
	u.hanging = true
	if u.lastResponse <= w.at && !e.pressed {
		e.noteSuspect(f)
	}
}
