package sparevidence

import "time"

const (
	// goneTime is how long an upstream must have given no sign of life: much longer than reports
	// take, so that VMs that reach it have sent it something and told.
	goneTime = time.Second
	// goneWitnesses is the least number of VMs to which it has left something unanswered. Besides,
	// they are the majority of those that report to each other.
	goneWitnesses = 3
	// goneFailures is the number of failures in a row. An upstream that is slow answers one of as
	// many requests meanwhile.
	goneFailures = 6
)

// judgeGone decides whether an upstream is gone: it is ejected, has left an opening unanswered,
// which load doesn't delay, fails for most VMs, and none has had an answer of any kind since two
// have seen it fail. Any sign of life after that refutes it. others is the number of VMs that report
// to this one.
func (s *subject) judgeGone(e merged, others int, now time.Duration) {
	if s.goneSince > 0 {
		if e.alive() > s.goneSince {
			s.goneSince = 0
		}
		return
	}
	silent := e.onset > 0 && now-e.onset >= goneTime && e.alive() <= e.onset && e.silent()
	most := e.failing >= goneWitnesses && 2*e.failing > others+1
	if silent && most && s.ejectedUntil > 0 && e.inARow >= goneFailures {
		s.goneSince = now
	}
}

// alive returns when the upstream last gave a sign of life to any VM.
func (e merged) alive() (at time.Duration) {
	for _, v := range e.views {
		at = max(at, v.openedAt, v.answeredAt)
	}
	return at
}

// silent reports whether a VM that has had no answer since has seen an opening unanswered.
func (e merged) silent() bool {
	for _, v := range e.views {
		if v.streak > 0 && v.openedAt < v.streak && v.counts.Unanswered >= leastCount {
			return true
		}
	}
	return false
}
