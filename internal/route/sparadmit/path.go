package sparadmit

import (
	"slices"
	"time"
)

const (
	// pathWaits is the number of waits for SYN-ACKs whose lower quartile is the time on the path: a delay
	// that most SYNs have.
	pathWaits = 32
	// usualPathGain is the part of a window's difference by which the usual path changes.
	usualPathGain = 1.0 / 16
	// maxPathRise is the rate, per second, at which the usual path rises at most: that of the response
	// time without queueing, so that their difference stays the service time.
	maxPathRise = leastGain * maxDeviation
)

// path is the time that packets of this VM are under way. SYNs do not queue at upstreams, so it
// is the same way without work. It rises if the VM or its link is busy: that delays responses as well, and
// must not pass for a queue at upstreams.
type path struct {
	waits [pathWaits]time.Duration // for the last SYN-ACKs
	count int                      // of waits, without bound
	now   time.Duration            // lower quartile of waits
	usual time.Duration            // without delays at this VM
}

// add adds the wait for a SYN-ACK.
func (p *path) add(waited time.Duration) {
	p.waits[p.count%pathWaits] = waited
	p.count++
}

// update takes the quartile at the end of a window. The usual path may fall, and rise slowly while
// slots are free.
func (p *path) update(length time.Duration, slotsFree bool) {
	if p.count == 0 {
		return
	}
	sorted := p.waits
	kept := sorted[:min(p.count, pathWaits)]
	slices.Sort(kept)
	p.now = kept[len(kept)/4]
	if p.usual == 0 {
		p.usual = p.now
	}
	change := time.Duration(usualPathGain * float64(p.now-p.usual))
	if change > 0 {
		rise := time.Duration(maxPathRise * length.Seconds() * float64(p.usual))
		change = min(change, rise)
	}
	if change < 0 || slotsFree {
		p.usual += change
	}
}

// seconds returns the time on the path now.
func (p *path) seconds() float64 { return p.now.Seconds() }

// excess returns by how much the path is longer than usual.
func (p *path) excess() time.Duration { return max(0, p.now-p.usual) }
