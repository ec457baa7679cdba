package sparevidence

import (
	"cmp"
	"time"
)

// bytesPerSecond bounds what a VM sends in reports.
const bytesPerSecond = 4096

// Budget bounds the bytes of messages, with a second's worth saved up. The zero Budget is full and for
// reports.
type Budget struct {
	PerSecond float64 // bytes, 0 for those of reports
	spent     float64
	at        time.Duration
}

// Take reports whether n bytes may be sent now, and counts them if so.
func (b *Budget) Take(now time.Duration, n int) bool {
	rate := cmp.Or(b.PerSecond, bytesPerSecond)
	b.spent = max(0, b.spent-rate*(now-b.at).Seconds())
	b.at = now
	if b.spent+float64(n) > rate {
		return false
	}
	b.spent += float64(n)
	return true
}
