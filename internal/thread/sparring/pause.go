package sparring

import (
	"context"
	"time"
)

// Pause waits for d. It returns false if ctx is done first.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
