// Package sparleave decides how a VM that was told to stop leaves its fabric: when the
// fabric has stopped sending to it, so that its process may end.
//
// The fabric probes each VM and leaves one that has refused two probes. A Leave is the
// state of one VM; its zero value is a VM that stays:
//
//	var l sparleave.Leave
//	l.Begin(now, grace)    // SIGTERM: from now on probes are refused
//	l.Refused(now)         // at each probe
//	l.Packet(now)          // at each packet of a caller
//	if l.Done(now) {
//		// the fabric has left, the process may end
//	}
//
// A Leave does no I/O and reads no clock.
package sparleave

import "time"

const (
	// Bound is how long a VM waits for the fabric to leave at most: four probes of
	// 500 ms, of which two must fail, less what two answers take.
	Bound = 1800 * time.Millisecond

	// refusals is the number of refused probes after which the fabric leaves.
	refusals = 2
	// probeSpan is the least time between the first and the last of them. The fabric
	// probes each 500 ms; others may ask in between.
	probeSpan = 400 * time.Millisecond
	// quiet is how long no packet must have come after that: the answer's way to the
	// fabric, and a packet's way from there across regions.
	quiet = 150 * time.Millisecond
)

// Leave is how far a VM is with leaving.
type Leave struct {
	begun    bool
	began    time.Duration
	bound    time.Duration
	refused  int
	first    time.Duration // refusal
	last     time.Duration // refusal
	packetAt time.Duration
}

// Begin starts to leave. The process is killed grace from now.
func (l *Leave) Begin(now, grace time.Duration) {
	l.begun, l.began = true, now
	l.bound = min(Bound, grace/2)
}

// Begun reports whether the VM is leaving.
func (l *Leave) Begun() bool { return l.begun }

// Bound returns how long leaving takes at most.
func (l *Leave) Bound() time.Duration { return l.bound }

// Refused notes that a probe was told to send nothing here. Probes before Begin found a
// VM that was starting, and do not count.
func (l *Leave) Refused(now time.Duration) {
	if !l.begun {
		return
	}
	if l.refused == 0 {
		l.first = now
	}
	l.refused++
	l.last = now
}

// Packet notes that the fabric has sent a packet.
func (l *Leave) Packet(now time.Duration) { l.packetAt = now }

// Done reports whether the process may end.
func (l *Leave) Done(now time.Duration) bool {
	if !l.begun {
		return false
	}
	return l.left(now) || now-l.began >= l.bound
}

// left reports whether the fabric has stopped sending to this VM.
func (l *Leave) left(now time.Duration) bool {
	told := l.refused >= refusals && l.last-l.first >= probeSpan
	return told && now-max(l.last, l.packetAt) >= quiet
}
