package sparadmit

import "time"

const (
	// maxViewAge is the age from which figures of all VMs are not used: two reports and some delay.
	maxViewAge = 2500 * time.Millisecond
	// loadSpan is the time over which the requests under way are averaged.
	loadSpan = 500 * time.Millisecond
	// reliefTime is the least time over which fewer requests show that the demand has fallen.
	reliefTime = 200 * time.Millisecond
	// meanCount is the number of samples that the means of Limiter.base and perOwn reach back.
	meanCount = 64
	// viewCount is the number of views in a second, one in each tick of a VM.
	viewCount = 20
	// minOwnPending is the number of requests under way at this VM from which views show its part of the load.
	minOwnPending = 1.0
)

// View is the load of a service at all VMs, by their reports.
type View struct {
	Pending float64 // requests under way
	Slots   int     // of the upstreams that take new flows
	VMs     int     // that have reported
	Age     time.Duration
}

// ServiceTime returns how long a request occupies a slot, 0 if that is unknown. Until it has
// been seen while slots are free, it includes queueing.
func (l *Limiter) ServiceTime() time.Duration {
	seconds := l.base - l.path.usual.Seconds()
	if l.base == 0 {
		seconds = l.response - l.path.seconds()
	}
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// average updates the request rate and the mean response time from a window.
func (l *Limiter) average(length time.Duration) {
	part := min(1, length.Seconds()/loadSpan.Seconds())
	l.rate += part * (float64(l.requests)/length.Seconds() - l.rate)
	if l.answered == 0 {
		return
	}
	mean := l.waited.Seconds() / float64(l.answered)
	if l.response == 0 {
		l.response = mean
	}
	l.response += part * (mean - l.response)
}

// pending returns the requests of this VM that are under way. In a long window, the load may have
// risen since its start.
func (l *Limiter) pending(now time.Duration) float64 {
	mean := l.rate * max(0, l.response-l.path.seconds())
	length := now - l.began
	if length < interval || length > maxInterval || l.answered == 0 {
		return mean
	}
	response := l.waited.Seconds() / float64(l.answered)
	return max(mean, float64(l.requests)/length.Seconds()*max(0, response-l.path.seconds()))
}

// relieved reports whether slots have become free while flows are refused. It tells sooner than the
// mean load that the demand has fallen.
func (l *Limiter) relieved(now time.Duration) bool {
	length := now - l.began
	if l.refused == 0 || length < reliefTime || l.viewed(now) {
		return false
	}
	response := l.response
	if l.answered > 0 {
		response = l.waited.Seconds() / float64(l.answered)
	}
	pending := float64(l.requests) / length.Seconds() * max(0, response-l.path.seconds()) * l.scale()
	return pending < fullLoadAlone*float64(l.slots)
}

// slotsFree reports whether so many slots are free that few requests queue.
func (l *Limiter) slotsFree(now time.Duration) bool {
	return l.windows >= minWindows && l.perSlot(now) < lowLoad
}

// perSlot returns the requests under way of all VMs per slot.
func (l *Limiter) perSlot(now time.Duration) float64 {
	v := l.load(now)
	if v.Slots == 0 {
		return 0
	}
	return v.Pending / float64(v.Slots)
}

// load returns the load at all VMs.
func (l *Limiter) load(now time.Duration) View {
	if l.viewed(now) {
		v := l.view
		if l.refused == 0 {
			v.Pending = min(v.Pending, l.viewMean) // a peak by chance is no overload
		}
		return v
	}
	return View{Pending: l.pending(now) * l.scale(), Slots: l.slots, VMs: 1}
}

// scale returns the factor from the load of this VM to that of all VMs without a recent view. Views may
// lower it alone: a VM with few callers can't tell the load of the others from its own.
func (l *Limiter) scale() float64 {
	vms := float64(l.vms)
	if l.perOwn == 0 {
		return vms
	}
	return min(vms, l.perOwn)
}

// viewed reports whether there are recent figures of all VMs.
func (l *Limiter) viewed(now time.Duration) bool {
	return l.viewAt > 0 && now-l.viewAt+l.view.Age < maxViewAge
}

// approach returns the mean of the last samples in seconds, with one more sample.
func approach(mean float64, sample time.Duration) float64 {
	return mix(mean, sample.Seconds(), meanCount)
}

// mix returns the mean of the last n samples, roughly, with one more.
func mix(mean, sample, n float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/n
}
