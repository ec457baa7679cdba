package sparevidence

import (
	"math"
	"time"
)

// opinion is what the evidence about an upstream says now.
type opinion struct {
	merged
	weight float64
	cause  Cause
}

// settled reports whether nothing speaks against the upstream any more.
func (o opinion) settled() bool {
	return o.weight == 1 && o.cause == Fine && len(o.witnesses) == 0 && o.hanging < 2
}

// judge returns the weight that a subject should have, and moves it between ejection, trial
// and fine.
func (b *Board) judge(s *subject, e merged, m *merger) opinion {
	s.doubted = e.failsInARow() || e.hanging >= 2
	if e.split {
		s.splitAt = m.now
	}
	if peers := m.peers(b.upstreams[e.id].Service); peers.FailureRatio() >= overloadRatio && !e.unanimous {
		s.ejectedUntil, s.trialSince, s.ejectionTime = 0, 0, 0
		return b.ease(e, m)
	}
	switch {
	case s.ejectedUntil > 0:
		answered := e.answeredSince(s.ejectedUntil-s.ejectionTime) >= trialAnswers
		if answered || e.answersHere || b.reaches(e.id, m.now) || m.now >= s.ejectedUntil {
			s.ejectedUntil, s.trialSince, s.answers = 0, m.now, 0
		}
	case s.trialSince > 0:
		b.judgeTrial(s, e, m)
	case e.failsInARow() && !e.split && b.confirmed(e, m) && b.mayEject(s, e, m), m.hangs(e):
		s.eject(m.now)
	}
	switch {
	case s.ejectedUntil > 0:
		return opinion{merged: e, weight: 0, cause: Failed}
	case s.trialSince > 0:
		return opinion{merged: e, weight: Trickle, cause: Trial}
	case s.clearedAt == m.now:
		return opinion{merged: e, weight: 1, cause: Fine}
	}
	if m.now-s.since < easeAfter {
		return opinion{merged: e, weight: 1, cause: Fine}
	}
	return b.ease(e, m)
}

// judgeTrial ends a trial after answers or failures. The evidence that ejected the upstream stands,
// so a failure of this VM is enough, or those of two others.
func (b *Board) judgeTrial(s *subject, e merged, m *merger) {
	own := s.ownFailure > s.trialSince && !m.sick
	switch {
	case own && !b.reaches(e.id, m.now), !e.split && e.failedSince(s.trialSince) >= 2 && b.mayEject(s, e, m):
		s.eject(m.now)
	case s.answers+e.answeredSince(s.trialSince) >= trialAnswers, m.now-s.trialSince >= trialTime:
		s.trialSince, s.ejectionTime = 0, 0
		b.clear(s, e.id, m.now)
	}
}

// mayEject reports whether the evidence of others is enough. It is not for an upstream that has just
// answered this VM. If the upstream answered some VMs and not others lately, this VM must have seen it fail
// itself.
func (b *Board) mayEject(s *subject, e merged, m *merger) bool {
	if b.reaches(e.id, m.now) {
		return false
	}
	r := b.own[e.id]
	return !s.splitLately(m.now) || r != nil && r.failingSince > 0
}

// reaches reports whether an upstream has just answered a client of this VM.
func (b *Board) reaches(id uint64, now time.Duration) bool {
	r := b.own[id]
	return r != nil && r.answeredAt > 0 && now-r.answeredAt < reachTime
}

// splitLately reports whether the upstream answered some VMs and not others lately.
func (s *subject) splitLately(now time.Duration) bool {
	return s.splitAt > 0 && now-s.splitAt <= splitMemory
}

// confirmed reports whether failures in a row are more than chance: there are many, or nobody has
// had an answer for a while.
func (b *Board) confirmed(e merged, m *merger) bool {
	if m.now-e.onset >= confirmTime {
		return true
	}
	usual := max(m.peers(b.upstreams[e.id].Service).FailureRatio(), leastUsualLoss)
	return e.inARow >= max(confirmFailures, math.Log(confirmChance)/math.Log(min(usual, failedRatio)))
}

// eject begins an ejection. One that follows a trial lasts longer than the one before.
func (s *subject) eject(now time.Duration) {
	s.ejectionTime = min(max(2*s.ejectionTime, baseEjection), maxEjection)
	s.ejectedUntil, s.trialSince, s.answers = now+s.ejectionTime, 0, 0
}

// clear ends a subject whose upstream has recovered: what was seen before counts no more.
func (b *Board) clear(s *subject, id uint64, now time.Duration) {
	s.clearedAt = now
	if r := b.own[id]; r != nil {
		b.forgetFailures(b.upstreams[id])
		r.tally, r.failingSince = tally{counts: r.value(now).withoutFailures(), at: now}, 0
	}
}

// ease returns the opinion on an upstream that is not ejected: less load if its share of
// failures or of slow answers is far above that of its peers.
func (b *Board) ease(e merged, m *merger) opinion {
	peers := m.peers(b.upstreams[e.id].Service)
	o := opinion{merged: e, weight: 1, cause: Fine}
	if e.failing >= 2 && !e.fineHere {
		o.weight = ramp(e.counts.FailureRatio(), 2*peers.FailureRatio()+failMargin, Trickle)
		o.cause = Partial
	}
	if w := ramp(e.counts.SlowRatio(), 2*peers.SlowRatio()+slowMargin, slowWeight); e.slow >= 2 && w < o.weight {
		o.weight, o.cause = w, Slow
	}
	if o.weight == 1 {
		o.cause = Fine
	}
	return o
}

// ramp returns a weight that falls from 1 at from to least at from + rampSpan.
func ramp(x, from, least float64) float64 {
	return max(least, 1-(1-least)*max(0, (x-from)/rampSpan))
}
