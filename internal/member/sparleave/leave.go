// Package sparleave implements the graceful shutdown of a VM: when it refuses the probes
// of the fabric, and when its process may end.
//
// The fabric takes a VM out of rotation once it has refused two probes. If fewer than half
// of the VMs of a failure domain are in rotation, the fabric sends packets to all of them
// again, stopped ones included. So VMs of one domain that are told to stop at the same time
// leave one after another. A Leave is the state of one VM; its zero value is a VM that was
// not told to stop:
//
//	var l sparleave.Leave
//	l.Begin(self, now, grace) // SIGTERM
//	for _, out := range l.Tick(siblings, now) {
//		// send out, a Departure, to the other VMs of the failure domain
//	}
//	ready := l.Ready()        // the response to probes
//	l.ProbeRefused(now)       // for each probe that was refused
//	l.PacketReceived(now)     // for each packet of a client
//	if l.Done(now) {
//		// out of rotation, the process may end
//	}
//
// A Leave does no I/O and reads no clock.
package sparleave

import "time"

const (
	// unhealthyThreshold is the number of refused probes after which the fabric takes a
	// VM out of rotation.
	unhealthyThreshold = 2
	// probeInterval is the time between two probes of the fabric.
	probeInterval = 500 * time.Millisecond
	// minProbeSpan is the least time between the first and the last of the refused probes,
	// since clients other than the fabric may probe in between.
	minProbeSpan = probeInterval * 4 / 5
	// idleTime is the time without packets, after the last of these probes, after which the
	// VM is out of rotation: the time for the response to reach the fabric and for a packet
	// to return across regions.
	idleTime = 150 * time.Millisecond
	// refuseTimeout is the longest time to wait for the fabric to take this VM out of
	// rotation: four probes, of which two must fail, less the time of two responses.
	refuseTimeout = 4*probeInterval - 200*time.Millisecond

	// announceInterval is the time between two announcements of a VM that leaves.
	announceInterval = 100 * time.Millisecond
	// listenTime is how long a VM listens for others before it refuses probes: two of
	// their announcements.
	listenTime = 2 * announceInterval
	// restartTime is how long a process takes to end, start and be ready.
	restartTime = 600 * time.Millisecond
	// returnTimeout is how long a VM that has stopped counts as out of rotation: its
	// restart, and the fabric's next probes.
	returnTimeout = restartTime + 2*probeInterval
	// maxWait is how long a VM waits for others at most: the shutdown of one VM, which is
	// two probes, idleTime and a restart, and listenTime. It is short because a VM that is
	// told to stop is expected to be out of rotation soon.
	maxWait = unhealthyThreshold*probeInterval + idleTime + restartTime + listenTime
	// exitMargin is the part of the grace period left when the process ends.
	exitMargin = 500 * time.Millisecond
)

type (
	// Departure announces that a VM was told to stop. Refusing is set once it refuses
	// probes; until then it waits for others.
	Departure struct {
		From     string
		Refusing bool
	}

	// Leave is the state of the graceful shutdown of one VM.
	Leave struct {
		self          string
		begun         bool
		began         time.Duration
		grace         time.Duration
		refusing      bool
		refusedAt     time.Duration // when it began to refuse probes
		refusedProbes int
		firstRefused  time.Duration // first refused probe
		unhealthyAt   time.Duration // last probe before the fabric takes this VM out of rotation, or 0
		lastPacket    time.Duration
		announcedAt   time.Duration // last announcement
		peers         map[string]announcement
	}

	// announcement is the last Departure received from another VM.
	announcement struct {
		at       time.Duration
		refusing bool
	}
)

// Begin starts the shutdown of the VM self. The process is killed after grace.
func (l *Leave) Begin(self string, now, grace time.Duration) {
	l.self, l.begun, l.began, l.grace = self, true, now, grace
}

// Begun reports whether the VM was told to stop.
func (l *Leave) Begun() bool { return l.begun }

// Ready reports whether probes are to be accepted.
func (l *Leave) Ready() bool { return !l.refusing }

// Waited returns how long the VM waited for others before it began to refuse probes.
func (l *Leave) Waited() time.Duration { return l.refusedAt - l.began }

// Received is called for a Departure received from another VM of the failure domain.
func (l *Leave) Received(d Departure, now time.Duration) {
	if l.peers == nil {
		l.peers = map[string]announcement{}
	}
	l.peers[d.From] = announcement{at: now, refusing: d.Refusing}
}

// Tick advances the state to now. siblings is the number of VMs of the failure domain, this
// one included. The departures returned are to be sent to each of the others.
func (l *Leave) Tick(siblings int, now time.Duration) []Departure {
	if !l.begun {
		return nil
	}
	if !l.refusing && l.mayRefuse(siblings, now) {
		l.refusing, l.refusedAt = true, now
	}
	if l.announcedAt > 0 && now-l.announcedAt < announceInterval {
		return nil
	}
	l.announcedAt = now
	return []Departure{{From: l.self, Refusing: l.refusing}}
}

// mayRefuse reports whether this VM may begin to refuse probes: enough of its failure
// domain stays in rotation, it has waited long enough, or it is the only VM of the domain.
func (l *Leave) mayRefuse(siblings int, now time.Duration) bool {
	preceding := 0
	for name, a := range l.peers {
		if a.precedes(now, name < l.self) {
			preceding++
		}
	}
	waited := now - l.began
	if waited >= l.waitTimeout() || siblings < 2 {
		return true
	}
	remaining := siblings - preceding - 1
	return waited >= listenTime && (preceding == 0 || 2*remaining >= siblings)
}

// precedes reports whether the other VM leaves before this one: it already refuses probes
// and is not back yet, or it waits too and byName says that its name sorts first.
func (a announcement) precedes(now time.Duration, byName bool) bool {
	if a.refusing {
		return now-a.at < returnTimeout
	}
	return byName && now-a.at < listenTime
}

// waitTimeout is how long to wait for others: maxWait, or less if the grace period would not
// leave enough time to get out of rotation.
func (l *Leave) waitTimeout() time.Duration {
	return max(min(maxWait, l.grace-refuseTimeout-exitMargin), 0)
}

// ProbeRefused is called when a probe was refused. It ignores those refused before the
// shutdown, while the VM was starting.
func (l *Leave) ProbeRefused(now time.Duration) {
	if !l.refusing {
		return
	}
	if l.refusedProbes == 0 {
		l.firstRefused = now
	}
	l.refusedProbes++
	if l.unhealthyAt == 0 && l.refusedProbes >= unhealthyThreshold && now-l.firstRefused >= minProbeSpan {
		l.unhealthyAt = now
	}
}

// PacketReceived is called when a packet from the fabric arrives.
func (l *Leave) PacketReceived(now time.Duration) { l.lastPacket = now }

// Done reports whether the process may end: the VM is out of rotation, or has refused probes
// for refuseTimeout or half the grace period, whichever is shorter.
func (l *Leave) Done(now time.Duration) bool {
	if !l.refusing {
		return false
	}
	bound := min(refuseTimeout, l.grace/2)
	return l.outOfRotation(now) || now-l.refusedAt >= bound
}

// outOfRotation reports whether the fabric has stopped sending to this VM.
func (l *Leave) outOfRotation(now time.Duration) bool {
	return l.unhealthyAt > 0 && now-max(l.unhealthyAt, l.lastPacket) >= idleTime
}
