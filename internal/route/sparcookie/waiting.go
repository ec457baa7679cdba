package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

const (
	// maxWaiting bounds the requests that are watched until they are overdue: those of 0.4 s at 2,500 a second.
	maxWaiting = 1024
	// maxWaited is the age of a request from which on its client has given it up or a later retransmission
	// has gone through another VM.
	maxWaited = 5 * time.Second
)

type (
	// waitingRequest is a request without a response.
	waitingRequest struct {
		flow *flow
		at   time.Duration
	}

	// Ended is a flow that is reset without a packet of its client.
	Ended struct {
		Segment // with the addresses and the acknowledgement of the client's last packet
		Verdict
	}
)

// watch keeps a new request until it is answered or overdue. An upstream that has received a
// request acknowledges it, and its client then sends no copy that would tell of a crash.
func (e *Engine) watch(f *flow) {
	if len(e.waiting) < maxWaiting {
		e.waiting = append(e.waiting, waitingRequest{flow: f, at: e.now})
	}
}

// checkWaiting makes the upstreams of overdue requests suspect. While slots are short, being overdue says
// little.
func (e *Engine) checkWaiting() {
	kept := e.waiting[:0]
	for _, w := range e.waiting {
		f := w.flow
		u := f.upstream
		if f.closed || f.requestedAt != w.at || u.service.usual == 0 {
			continue
		}
		if e.now-w.at < overdueAfter(u.service.usual) {
			kept = append(kept, w)
			continue
		}
		if u.lastResponse <= w.at && !e.pressed {
			e.noteSuspect(f)
		}
	}
	clear(e.waiting[len(kept):]) // drops their flows
	e.waiting = kept
}

// EndWaiting ends the flows of an upstream that is gone whose clients wait for a response. A reset has to
// be sent for each of them.
func (e *Engine) EndWaiting(o sparprobe.Outcome) (list []Ended) {
	u := e.marks[o.Mark()]
	if u == nil || !e.gone(u) {
		return nil
	}
	for key, f := range e.flows {
		if f.upstream != u || !f.opened || f.closed || f.requestedAt == 0 || e.now-f.requestedAt >= maxWaited {
			continue
		}
		v := e.reset(UpstreamGone, u)
		v.Waited = e.now - f.requestedAt
		list = append(list, Ended{Segment: Segment{From: key.client, To: key.service, Ack: f.ack}, Verdict: v})
		e.stats.GoneResets++
		e.forget(key)
	}
	return list
}
