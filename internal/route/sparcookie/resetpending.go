package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// maxPendingAge is the age of a pending request up to which its flow is reset without a packet of its client. With
// an older one the client has given up, or goes on through another VM.
const maxPendingAge = 5 * time.Second

// Ended is a flow that is reset without a packet of its client.
type Ended struct {
	Segment // with the addresses and the acknowledgement of the client's last packet
	Verdict
}

// ResetPending ends the flows with a pending request at an upstream that is gone, unless they are new here
// since it was found silent, see resetsData. The caller sends a reset for each of them.
func (e *Engine) ResetPending(o sparprobe.Outcome) (list []Ended) {
	u := e.asking.marks[o.Mark()]
	if u == nil || !e.gone(u) {
		return nil
	}
	for key, f := range e.flows {
		if f.upstream != u || !f.opened || f.closed || f.began > u.death.goneSince || f.requestedAt == 0 || e.now-f.requestedAt >= maxPendingAge {
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
