package sparcookie

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// deathState is what this VM knows of whether an upstream has died. Three states lead to resets: the
// upstream is suspect, and other VMs are asked about it (suspect.go); it is gone, since no VM reaches it
// (this file); it is replaced, since its address belongs to another one (replaced.go).
type deathState struct {
	isSuspect    bool          // in asking.suspects
	suspectedFor time.Duration // arrival of the latest request that made it suspect
	goneUntil    time.Duration // end of the verdict that it is gone
	goneSince    time.Duration // when the round began that found it gone
	replacedAt   time.Duration // when this VM learnt that its address belongs to a later start, or 0
	changedAt    time.Duration // last change of its entry, apart from its removal
	listedAt     time.Duration // when this VM learnt of this start
}

// gone reports whether the verdict is in force that no VM reaches u.
func (e *Engine) gone(u *upstream) bool { return e.now < u.death.goneUntil }

// SetGone puts a verdict on an upstream in force, or ends it.
func (e *Engine) SetGone(o sparprobe.Outcome) {
	u := e.asking.marks[o.Mark()]
	if u == nil {
		return
	}
	switch o.Kind {
	case sparprobe.Gone, sparprobe.Confirmed:
		u.death.goneUntil, u.death.goneSince = o.Until, e.now-o.Age
	case sparprobe.Back:
		u.death.goneUntil = 0
	}
}

// resetsData reports whether a packet of f with data is answered with a reset at once, since u is gone or
// was replaced and removed. A flow that has moved here since the verdict's round began may have been opened at a
// later start of u, which other VMs know sooner. After a pause of this VM responses may be unread.
func (e *Engine) resetsData(u *upstream, f *flow, s *Segment) bool {
	if s.Kind != Data || s.Size == 0 || e.elsewhere(s) {
		return false
	}
	if u.removed && u.replaced() {
		return true
	}
	return e.gone(u) && !e.JustPaused() && f.began <= u.death.goneSince && !f.provesAlive(s, u.death.goneSince)
}

// provesAlive reports whether packet s of an open flow shows that its upstream ran after a time: it acknowledges the
// response to a request that arrived after it.
func (f *flow) provesAlive(s *Segment, after time.Duration) bool {
	return f.opened && seqAfter(s.Ack, f.ack) && f.requestedAt > after
}

// elsewhere reports whether s has the cookie of an upstream that this VM does not know: other VMs may
// know it, and the record with the addresses of s is of an earlier flow or SYN.
func (e *Engine) elsewhere(s *Segment) bool { return s.Cookie != 0 && e.cookies[s.Cookie] == nil }
