package sparprobe

import "time"

const (
	// maxQuestions bounds the questions that are not answered yet: four from each of 64 VMs.
	maxQuestions = 256
	// answerTime is the age at which a question is answered as far as its answer is known: the results of
	// connections that were begun for it have arrived, and the answer is in time for RoundTime.
	answerTime = ConnectTimeout + 50*time.Millisecond
)

type (
	// Answerer answers the questions of other VMs. The zero Answerer has none.
	Answerer struct {
		open []openQuestion
	}

	// openQuestion is a question that is not answered yet.
	openQuestion struct {
		Question
		at time.Duration // arrival
	}

	// AddressedAnswer is an answer for the VM that asked.
	AddressedAnswer struct {
		To string
		Answer
	}
)

// Ask takes in a question. It returns the upstreams to which a connection is to be opened now:
// those that have answered no client of this VM within the silence that the question names.
func (a *Answerer) Ask(now time.Duration, q Question, c *Connections, look Look) (connect []Upstream) {
	if len(a.open) >= maxQuestions {
		return nil
	}
	opened := openQuestion{Question: q, at: now}
	a.open = append(a.open, opened)
	for _, mark := range q.Marks {
		u, ok := look(mark)
		if ok && !u.Draining && !opened.refutedBy(u) && c.Begin(now, mark) {
			connect = append(connect, u)
		}
	}
	return connect
}

// refutedBy reports whether u has answered a client of this VM within the silence that q names.
func (q openQuestion) refutedBy(u Upstream) bool {
	return u.Answered > 0 && u.Answered >= q.at-q.Silence
}

// Due returns the answers that are complete, or old enough.
func (a *Answerer) Due(now time.Duration, self string, c *Connections, look Look) (list []AddressedAnswer) {
	kept := a.open[:0]
	for _, q := range a.open {
		answer, complete := q.answer(now, c, look)
		if !complete && now-q.at < answerTime {
			kept = append(kept, q)
			continue
		}
		answer.From = self
		if len(answer.Alive)+len(answer.Silent) > 0 {
			list = append(list, AddressedAnswer{To: q.From, Answer: answer})
		}
	}
	a.open = kept
	return list
}

// answer returns what is known. An upstream without a result is left out, and so is one that drains: that
// it no longer listens tells nothing of its flows.
func (q openQuestion) answer(now time.Duration, c *Connections, look Look) (answer Answer, complete bool) {
	answer, complete = Answer{Run: q.Run, Round: q.Round}, true
	for _, mark := range q.Marks {
		u, ok := look(mark)
		if !ok || u.Draining && !q.refutedBy(u) {
			continue
		}
		reached, known := c.Result(now, mark)
		switch {
		case q.refutedBy(u), known && reached:
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
func (a *Answerer) Cancel() { a.open = nil }
