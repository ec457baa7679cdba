package sparcookie

import "time"

// observation is what one packet of a client shows.
type observation struct {
	answered, first, retransmitted, abandoned bool
	requested                                 bool // it is the first packet of a request
	waited                                    time.Duration
}

// observe updates the flow and its upstream from one packet.
func (e *Engine) observe(f *flow, s *Segment) (obs observation) {
	f.lastSeen = e.now
	if !f.opened {
		obs = e.observeOpened(f, s)
	}
	if seqAfter(s.Ack, f.ack) {
		e.observeResponse(f, s, &obs)
	}
	if s.Size > 0 {
		e.observeData(f, s, &obs)
	}
	return obs
}

// observeOpened takes in the first packet after the SYN, which acknowledges the SYN-ACK.
func (e *Engine) observeOpened(f *flow, s *Segment) observation {
	f.opened = true
	f.ack, f.nextSeq = s.Ack, s.Seq
	waited := e.now - f.began
	e.recordOpeningTime(waited)
	e.noteOpened(f.upstream)
	e.noteProgress(f)
	f.upstream.noteAlive(f.began)
	return observation{answered: true, first: true, waited: waited}
}

// observeResponse takes in a packet that acknowledges more of a response.
func (e *Engine) observeResponse(f *flow, s *Segment, obs *observation) {
	f.ack = s.Ack
	if f.requestedAt > 0 {
		obs.answered, obs.waited = true, e.now-f.requestedAt
	}
	e.noteResponse(f)
	if s.Size > 0 {
		f.upstream.noteAlive(f.requestedAt)
	} else {
		f.upstream.noteAlive(e.now)
	}
	f.requestedAt = 0
	e.noteProgress(f)
}

// observeData takes in a packet with data: a part of a request, a retransmission, or a packet that was
// reordered if it comes too early for a retransmission.
func (e *Engine) observeData(f *flow, s *Segment, obs *observation) {
	if end := s.Seq + uint32(s.Size); seqAfter(end, f.nextSeq) {
		f.nextSeq = end
		obs.requested = f.requestedAt == 0
		e.noteRequest(f)
		return
	}
	waited := e.now - max(f.requestedAt, f.lastProgress)
	if waited < minRetransmitAge {
		return
	}
	obs.retransmitted, obs.waited = true, waited
	e.noteOverdue(f)
	if f.upstream.lastResponse <= f.requestedAt {
		e.noteUnanswered(f.upstream, f)
		f.upstream.copiesSinceAlive++
		e.noteSuspect(f)
	}
}

// observeEnd takes in a FIN or RST: the flow no longer counts as load, and a pending request is abandoned.
func (e *Engine) observeEnd(f *flow, obs *observation) {
	if waited, abandoned := e.noteAbandoned(f); abandoned {
		obs.abandoned, obs.waited = true, waited
	}
	e.close(f)
}
