package sparcookie

import "time"

const (
	// hangingFactor times the usual response time of its service is the age at which a request hangs. It may
	// be lower than overdueFactor, since hanging is no failure and an answer to any client refutes it.
	hangingFactor = 5
	// leastHanging is the least age at which a request hangs.
	leastHanging = 200 * time.Millisecond
	// maxWatched bounds the requests of a service that are watched: those of 2,500 a second for leastHanging.
	maxWatched = 512
)

// watchedRequest is a pending request that does not hang yet.
type watchedRequest struct {
	flow *flow
	at   time.Duration // arrival
}

// watchResponse watches the request of f that arrives now, if the usual response time is known.
func (e *Engine) watchResponse(f *flow) {
	if s := f.upstream.service; s.usual > 0 && len(s.watched) < maxWatched {
		s.watched = append(s.watched, watchedRequest{flow: f, at: e.now})
	}
}

// checkHanging notes the watched requests that hang by now.
func (e *Engine) checkHanging() {
	for _, s := range e.services {
		age, due := max(leastHanging, hangingFactor*s.usual), 0
		for _, w := range s.watched {
			if e.now-w.at < age {
				break
			}
			due++
			e.noteHanging(w)
		}
		s.watched = append(s.watched[:0], s.watched[due:]...)
	}
}

// noteHanging notes an upstream at which a request hangs, if it has answered no request of this VM since the
// request arrived. This is no failure: the flow may have moved to another VM, which sees the response.
//
// The upstream is suspect if it has shown no sign of life at all since then: it may have acknowledged the
// request and crashed, and then the client sends no copy. Under load it is not, as its queue may be long.
func (e *Engine) noteHanging(w watchedRequest) {
	f, u := w.flow, w.flow.upstream
	if f.requestedAt != w.at || f.closed || u.evidence.answeredAt >= w.at || e.JustPaused() {
		return
	}
	e.seenOf(u)
	u.evidence.hanging = true
	if u.lastResponse <= w.at && !e.observing.pressed {
		e.noteSuspect(f)
	}
}
