package sparevidence

import "time"

// bytesPerSecond bounds what a VM sends in reports.
const bytesPerSecond = 4096

// Budget bounds the bytes of reports, with a second's worth saved up. The zero Budget is full.
type Budget struct {
	spent float64
	at    time.Duration
}

// Take reports whether n bytes may be sent now, and counts them if so.
func (b *Budget) Take(now time.Duration, n int) bool {
	b.spent = max(0, b.spent-bytesPerSecond*(now-b.at).Seconds())
	b.at = now
	if b.spent+float64(n) > bytesPerSecond {
		return false
	}
	b.spent += float64(n)
	return true
}
