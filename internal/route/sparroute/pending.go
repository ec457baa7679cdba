package sparroute

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

// sendToStandbys sends m to every standby of slot and returns the acknowledgements to
// wait for.
func (e *Engine) sendToStandbys(slot int, m Message) []ack {
	var acks []ack
	for _, peer := range e.standbysOf(slot) {
		acks = append(acks, ack{peer: peer, seq: e.queue(peer, m)})
	}
	return acks
}

// standbysOf returns the names of the standbys of slot in the view.
func (e *Engine) standbysOf(slot int) []string {
	if len(e.roles) == 0 {
		return nil
	}
	var names []string
	for _, i := range e.roles[slot].standbys {
		if i >= 0 && int(i) != e.me {
			names = append(names, e.view.Members[i].VM.Name)
		}
	}
	return names
}

// completePending completes the changes that every standby has acknowledged. Standbys
// that have left the view do not count.
func (e *Engine) completePending() {
	waiting := e.pending[:0]
	var done []pending
	for _, p := range e.pending {
		if e.allAcked(p.acks) {
			done = append(done, p)
			continue
		}
		waiting = append(waiting, p)
	}
	e.pending = waiting
	for _, p := range done {
		if p.key == 0 {
			e.finishDefaultChange(p)
			continue
		}
		e.release(p.group, p.key)
	}
}

func (e *Engine) allAcked(acks []ack) bool {
	for _, a := range acks {
		if e.view.Index(a.peer) >= 0 && e.acked(a.peer) < a.seq {
			return false
		}
	}
	return true
}

func (e *Engine) release(g *group, key sparflow.Key) {
	if g.held[key] {
		delete(g.held, key)
		e.emit(Release{Key: key})
	}
}

// Acknowledged completes pending changes after a peer has acknowledged messages.
func (e *Engine) Acknowledged() {
	if len(e.pending) > 0 {
		e.completePending()
	}
}

// age returns the time since the last change of the record.
func (e *Engine) age(f flow) time.Duration {
	return time.Duration(e.seconds()-f.changed) * time.Second
}
