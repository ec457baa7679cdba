package sparprobe

import "time"

const (
	// maxWaiting bounds the questions that wait for connections: several from each of 64 VMs.
	maxWaiting = 256
	// answerTime is the age at which a question is answered as far as its answer is known.
	answerTime = ConnectTimeout + 50*time.Millisecond
)

type (
	// Answerer answers the questions of other VMs. The zero Answerer has none.
	Answerer struct {
		waiting []waiting
	}

	waiting struct {
		Question
		at time.Duration
	}
)

// Ask takes in a question. It returns the upstreams to which a connection is to be opened now:
// those that have answered no client of this VM within the silence that the question names.
func (a *Answerer) Ask(now time.Duration, q Question, c *Connections, look Look) (open []Upstream) {
	if len(a.waiting) >= maxWaiting {
		return nil
	}
	w := waiting{Question: q, at: now}
	a.waiting = append(a.waiting, w)
	for _, mark := range q.Marks {
		u, ok := look(mark)
		if ok && !u.Draining && !w.served(u) && c.Begin(now, mark) {
			open = append(open, u)
		}
	}
	return open
}

// served reports whether u has answered a client of this VM lately.
func (w waiting) served(u Upstream) bool { return u.Answered > 0 && u.Answered >= w.at-w.Silence }

// Due returns the answers that are complete, or old enough.
func (a *Answerer) Due(now time.Duration, self string, c *Connections, look Look) (list []AddressedAnswer) {
	kept := a.waiting[:0]
	for _, w := range a.waiting {
		answer, complete := w.answer(now, c, look)
		if !complete && now-w.at < answerTime {
			kept = append(kept, w)
			continue
		}
		answer.From = self
		if len(answer.Alive)+len(answer.Silent) > 0 {
			list = append(list, AddressedAnswer{To: w.From, Answer: answer})
		}
	}
	a.waiting = kept
	return list
}

// AddressedAnswer is an answer for the VM that asked.
type AddressedAnswer struct {
	To string
	Answer
}

// answer returns what is known. An upstream without a result is left out, and
// so is one that drains: that it no longer listens tells nothing of its flows.
func (w waiting) answer(now time.Duration, c *Connections, look Look) (answer Answer, complete bool) {
	answer, complete = Answer{Run: w.Run, Round: w.Round}, true
	for _, mark := range w.Marks {
		u, ok := look(mark)
		if !ok || u.Draining && !w.served(u) {
			continue
		}
		reached, known := c.Result(now, mark)
		switch {
		case w.served(u), known && reached:
			answer.Alive = append(answer.Alive, mark)
		case known:
			answer.Silent = append(answer.Silent, mark)
		default:
			complete = false
		}
	}
	return answer, complete
}

// Cancel drops all questions: this VM was paused.
func (a *Answerer) Cancel() { a.waiting = nil }
