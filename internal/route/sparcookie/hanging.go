package sparcookie

import "time"

// maxWaiting bounds the requests of a service that wait for overdueAfter: those of 1,000 a second.
const maxWaiting = 512

// waitingRequest is a request that is not yet overdue.
type waitingRequest struct {
	flow *flow
	at   time.Duration
}

// awaitResponse records the request of f that arrives now, which has to be answered within overdueAfter.
func (e *Engine) awaitResponse(f *flow) {
	if s := f.upstream.service; s.usual > 0 && len(s.waiting) < maxWaiting {
		s.waiting = append(s.waiting, waitingRequest{flow: f, at: e.now})
	}
}

// checkWaiting notes the requests that have become overdue without a sign of their clients.
func (e *Engine) checkWaiting() {
	for _, s := range e.services {
		age, due := overdueAfter(s.usual), 0
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

// noteHanging notes an upstream at which a request is overdue, if it has answered no request of this VM
// since. This is no failure: the flow may have moved to another VM, which sees the response.
func (e *Engine) noteHanging(w waitingRequest) {
	f, u := w.flow, w.flow.upstream
	if f.requestedAt != w.at || f.closed || u.answeredAt >= w.at || e.now-e.pausedAt < catchUpTime {
		return
	}
	e.seenOf(u)
	u.hanging = true
}
