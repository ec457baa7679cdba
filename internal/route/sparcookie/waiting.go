package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// maxWaited is the age of a request from which on its client has given it up or a later retransmission
// has gone through another VM.
const maxWaited = 5 * time.Second

// Ended is a flow that is reset without a packet of its client.
type Ended struct {
	Segment // with the addresses and the acknowledgement of the client's last packet
	Verdict
}

// EndWaiting ends the flows of an upstream that is gone whose clients wait for a response, unless they
// are new here since it was found silent, see resetsGone. A reset has to be sent for each of them.
func (e *Engine) EndWaiting(o sparprobe.Outcome) (list []Ended) {
	u := e.marks[o.Mark()]
	if u == nil || !e.gone(u) {
		return nil
	}
	for key, f := range e.flows {
		if f.upstream != u || !f.opened || f.closed || f.began > u.death.since || f.requestedAt == 0 || e.now-f.requestedAt >= maxWaited {
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
