package sparevidence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// evaluateEvery is the time between two evaluations without new evidence, and evaluateAfter the
	// least time between two with it.
	evaluateEvery = 250 * time.Millisecond
	evaluateAfter = 100 * time.Millisecond

	// failedRatio is the share of failures from which on hardly anything is answered.
	failedRatio = 0.9
	// overloadRatio is the share of failures of all upstreams of a service from which on none is
	// ejected unless all VMs agree: demand is above what they can do.
	overloadRatio = 0.2
	// confirmTime is how long two VMs must have seen nothing but failures, and confirmFailures
	// the number of failures that needs no such wait: four recent ones, which have decayed a little.
	// Meanwhile others report their answers.
	confirmTime     = time.Second
	confirmFailures = 3.5
	// confirmChance is the chance that as many failures in a row are due to what the service
	// loses anyway, and leastUsualLoss the least share that it is taken to lose.
	confirmChance  = 1e-4
	leastUsualLoss = 0.05
	// baseEjection is how long an ejection by evidence lasts at first. Each one that follows
	// another doubles it, up to maxEjection.
	baseEjection = 2 * time.Second
	maxEjection  = 16 * time.Second
	// reachTime is how long an answer shows that this VM reaches an upstream, whatever others see. Some of
	// its own requests may be lost meanwhile.
	reachTime = time.Second
	// easeAfter is the age of the first evidence about an upstream from which on it may get less
	// load: others that have answers of it report them meanwhile.
	easeAfter = 2 * time.Second
	// splitMemory is how long an upstream counts as one that some VMs reach and others don't.
	splitMemory = time.Minute
	// trialTime is how long an upstream keeps a trickle of flows without an answer or a failure
	// before it counts as recovered, and trialAnswers the answers that end the trial.
	trialTime    = 2 * time.Minute
	trialAnswers = 2

	// Trickle is the weight of an upstream that gets just enough flows to show its recovery.
	Trickle = 0.1
	// slowWeight is the least weight of an upstream that is slow but answers.
	slowWeight = 0.25
	// An upstream gets less load from a share of failures, or of slow answers, that is twice that
	// of its peers and failMargin or slowMargin more; the least if it is rampSpan above that.
	failMargin = 0.15
	slowMargin = 0.3
	rampSpan   = 0.15
	// leastChange is the least change of a weight that is told, but for those to 0 and 1.
	leastChange = 0.1
)

// Causes of a weight.
const (
	Fine    Cause = "fine"
	Failed  Cause = "failed"  // hardly anything is answered
	Partial Cause = "partial" // fails in part
	Slow    Cause = "slow"
	Trial   Cause = "trial" // after an ejection
)

type (
	// Cause is why an upstream has its weight.
	Cause string

	// Change is a new weight of an upstream.
	Change struct {
		Upstream  Upstream
		Weight    float64 // 0 for an ejected upstream, 1 for one that is fine
		Cause     Cause
		Witnesses []string // VMs for which it fails or is slow, in order
		Counts    Counts   // of all VMs, bounded
	}

	// subject is an upstream about which there is evidence.
	subject struct {
		since        time.Duration // first evidence
		weight       float64
		cause        Cause
		doubted      bool          // two VMs see nothing but failures, or requests that hang
		ejectedUntil time.Duration // 0 unless ejected
		ejectionTime time.Duration
		trialSince   time.Duration // 0 unless on trial
		answers      float64       // of this VM, since the last change of state
		ownFailure   time.Duration // last one of this VM
		splitAt      time.Duration // last time that it answered some VMs and not others
		clearedAt    time.Duration // end of the last trial: evidence before it is settled
	}
)

// subject returns what is known of an upstream about which there is evidence.
func (b *Board) subject(id uint64, now time.Duration) *subject {
	s := b.subjects[id]
	if s == nil {
		s = &subject{since: now, weight: 1, cause: Fine}
		b.subjects[id] = s
	}
	return s
}

// answersWanted reports whether others should hear at once that an upstream has answered: it is about
// to be ejected, is ejected or on trial.
func (b *Board) answersWanted(id uint64) bool {
	s := b.subjects[id]
	return s != nil && (s.doubted || s.ejectedUntil > 0 || s.trialSince > 0)
}

// Evaluate returns the weights that have changed since the last call.
func (b *Board) Evaluate(now time.Duration) (changes []Change) {
	b.notePause(now)
	wait := evaluateEvery
	if b.changed {
		wait = evaluateAfter
	}
	if len(b.subjects) == 0 || now-b.evaluated < wait {
		return nil
	}
	b.changed, b.evaluated = false, now
	b.expire(now)
	m := b.newMerger(now)
	opinions := map[uint64]opinion{}
	for id, s := range b.subjects {
		opinions[id] = b.judge(s, m.merge(id), m)
	}
	b.limitEjections(opinions)
	for id, o := range opinions {
		if c, ok := b.publish(id, o); ok {
			changes = append(changes, c)
		}
		if s := b.subjects[id]; o.settled() && s.weight == 1 && !s.splitLately(now) {
			delete(b.subjects, id)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return changes
}

// Weighed returns how many upstreams are ejected by evidence, and how many get less load.
func (b *Board) Weighed() (ejected, eased int) {
	for _, s := range b.subjects {
		switch {
		case s.weight == 0:
			ejected++
		case s.weight < 1:
			eased++
		}
	}
	return ejected, eased
}

// publish sets the weight of a subject. Small changes are not worth telling.
func (b *Board) publish(id uint64, o opinion) (c Change, changed bool) {
	s := b.subjects[id]
	small := max(o.weight-s.weight, s.weight-o.weight) < leastChange && o.weight != 0 && o.weight != 1
	if small || o.weight == s.weight {
		return Change{}, false
	}
	s.weight, s.cause = o.weight, o.cause
	return Change{Upstream: b.upstreams[id], Weight: o.weight, Cause: o.cause, Witnesses: o.witnesses, Counts: o.counts}, true
}

// limitEjections leaves at most half of the upstreams of a service ejected, those with the most
// failures. The others get a trickle. Upstreams on which all VMs that report agree don't count.
func (b *Board) limitEjections(opinions map[uint64]opinion) {
	ejected := map[string][]uint64{}
	for id, o := range opinions {
		if o.weight == 0 && !o.unanimous {
			service := b.upstreams[id].Service
			ejected[service] = append(ejected[service], id)
		}
	}
	for service, ids := range ejected {
		slices.SortFunc(ids, func(x, y uint64) int {
			return cmp.Or(
				cmp.Compare(b.subjects[x].weight, b.subjects[y].weight), // those ejected already stay so
				cmp.Compare(opinions[y].counts.Failures(), opinions[x].counts.Failures()),
				cmp.Compare(x, y),
			)
		})
		for _, id := range ids[min(len(ids), b.services[service]/2):] {
			o := opinions[id]
			o.weight = Trickle
			opinions[id] = o
		}
	}
}
