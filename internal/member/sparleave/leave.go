// Package sparleave decides how a VM that was told to stop leaves its fabric: when it
// refuses the fabric's probes, and when its process may end.
//
// The fabric leaves a VM that has refused two probes. Where fewer than half of a failure
// domain's VMs take packets it sends to all of them again, those that have stopped
// included; so VMs of one domain that are told to stop together take turns. A Leave is
// the state of one VM; its zero value is a VM that stays:
//
//	var l sparleave.Leave
//	l.Begin(self, now, grace)                // SIGTERM
//	for _, out := range l.Tick(siblings, now) {
//		// send out, a Departure, to the other VMs of the failure domain
//	}
//	ready := l.Ready()                       // the answer to probes
//	l.Refused(now)                           // at each probe that was refused
//	l.Packet(now)                            // at each packet of a caller
//	if l.Done(now) {
//		// the fabric has left, the process may end
//	}
//
// A Leave does no I/O and reads no clock.
package sparleave

import "time"

const (
	// refusals is the number of refused probes after which the fabric leaves.
	refusals = 2
	// probeEvery is how often the fabric probes.
	probeEvery = 500 * time.Millisecond
	// probeSpan is the least time between the first and the last of the refused probes,
	// since others than the fabric may ask in between.
	probeSpan = probeEvery * 4 / 5
	// quiet is how long no packet must have come after that: the answer's way to the
	// fabric, and a packet's way from there across regions.
	quiet = 150 * time.Millisecond
	// refuseFor is how long the fabric is given to leave: four probes, of which two must
	// fail, less what two answers take.
	refuseFor = 4*probeEvery - 200*time.Millisecond

	// announceEvery is how often VMs that leave tell each other.
	announceEvery = 100 * time.Millisecond
	// listenFor is how long a VM hears others before it goes: two of their announcements.
	listenFor = 2 * announceEvery
	// restart is how long a process takes to end, start and be ready.
	restart = 600 * time.Millisecond
	// returnAfter is how long a VM that has gone is waited for: its restart, and the
	// fabric's next probe.
	returnAfter = restart + 2*probeEvery
	// maxWait is how long others are waited for at most: one turn, which is two probes,
	// the quiet after them and a restart. Whoever told a VM to stop expects it to be out of
	// the fabric soon.
	maxWait = refusals*probeEvery + quiet + restart + listenFor
	// endSlack is what is left of the grace when the process ends.
	endSlack = 500 * time.Millisecond
)

type (
	// Departure tells that a VM was told to stop. Refusing says that it has told the
	// fabric so; before, it waits for others.
	Departure struct {
		From     string
		Refusing bool
	}

	// Leave is how far a VM is with leaving.
	Leave struct {
		self      string
		begun     bool
		began     time.Duration
		grace     time.Duration
		refusing  bool
		refusedAt time.Duration // when it began to refuse
		refused   int
		first     time.Duration // refused probe
		leaves    time.Duration // the probe after which the fabric leaves, or 0
		packetAt  time.Duration
		told      time.Duration // last announcement
		others    map[string]heard
	}

	// heard is what another VM has announced last.
	heard struct {
		at       time.Duration
		refusing bool
	}
)

// Begin starts to leave as the VM called self. The process is killed grace from now.
func (l *Leave) Begin(self string, now, grace time.Duration) {
	l.self, l.begun, l.began, l.grace = self, true, now, grace
}

// Begun reports whether the VM was told to stop.
func (l *Leave) Begun() bool { return l.begun }

// Ready reports whether probes are answered as those of a VM that stays.
func (l *Leave) Ready() bool { return !l.refusing }

// Waited returns how long the VM has waited for others, until it began to refuse.
func (l *Leave) Waited() time.Duration { return l.refusedAt - l.began }

// Heard takes the announcement of another VM of the failure domain.
func (l *Leave) Heard(d Departure, now time.Duration) {
	if l.others == nil {
		l.others = map[string]heard{}
	}
	l.others[d.From] = heard{at: now, refusing: d.Refusing}
}

// Tick does what time makes due. siblings is the number of VMs of the failure domain,
// this one included. What it returns goes to each of the others.
func (l *Leave) Tick(siblings int, now time.Duration) []Departure {
	if !l.begun {
		return nil
	}
	if !l.refusing && l.mayGo(siblings, now) {
		l.refusing, l.refusedAt = true, now
	}
	if l.told > 0 && now-l.told < announceEvery {
		return nil
	}
	l.told = now
	return []Departure{{From: l.self, Refusing: l.refusing}}
}

// mayGo reports whether the fabric may be told to leave this VM.
func (l *Leave) mayGo(siblings int, now time.Duration) bool {
	ahead := 0
	for name, h := range l.others {
		if h.ahead(now, name < l.self) {
			ahead++
		}
	}
	waited := now - l.began
	if waited >= l.patience() || siblings < 2 {
		return true
	}
	left := siblings - ahead - 1
	return waited >= listenFor && (ahead == 0 || 2*left >= siblings)
}

// ahead reports whether another VM goes first: it has begun to go and is not back yet, or
// waits as well and comes first by name.
func (h heard) ahead(now time.Duration, byName bool) bool {
	if h.refusing {
		return now-h.at < returnAfter
	}
	return byName && now-h.at < listenFor
}

// patience is how long others are waited for: a turn, or the grace less what leaving takes.
func (l *Leave) patience() time.Duration {
	return max(min(maxWait, l.grace-refuseFor-endSlack), 0)
}

// Refused notes that a probe was told to send nothing here. Probes before that found a
// VM that was starting, and do not count.
func (l *Leave) Refused(now time.Duration) {
	if !l.refusing {
		return
	}
	if l.refused == 0 {
		l.first = now
	}
	l.refused++
	if l.leaves == 0 && l.refused >= refusals && now-l.first >= probeSpan {
		l.leaves = now
	}
}

// Packet notes that the fabric has sent a packet.
func (l *Leave) Packet(now time.Duration) { l.packetAt = now }

// Done reports whether the process may end.
func (l *Leave) Done(now time.Duration) bool {
	if !l.refusing {
		return false
	}
	bound := min(refuseFor, l.grace/2)
	return l.left(now) || now-l.refusedAt >= bound
}

// left reports whether the fabric has stopped sending to this VM.
func (l *Leave) left(now time.Duration) bool {
	return l.leaves > 0 && now-max(l.leaves, l.packetAt) >= quiet
}
