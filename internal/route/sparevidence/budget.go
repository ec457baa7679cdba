package sparevidence

import (
	"cmp"
	"time"
)

// bytesPerSecond bounds what a VM sends in reports.
const bytesPerSecond = 4096

// Budget bounds the bytes of messages; those of one second may be sent at once. The zero Budget bounds
// reports, and nothing is spent of it.
type Budget struct {
	PerSecond float64 // bytes, 0 for bytesPerSecond
	spent     float64 // bytes that count now
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
