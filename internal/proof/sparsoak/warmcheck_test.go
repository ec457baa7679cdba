package sparsoak

import (
	"testing"
	"time"
)

// TestInSecond counts the openings of a second: those that were sent and arrived in it, both ends
// included.
func TestInSecond(t *testing.T) {
	now := time.Now()
	ago := func(sent, arrived int, held bool) opening {
		return opening{now.Add(time.Duration(-sent) * time.Millisecond), now.Add(time.Duration(-arrived) * time.Millisecond), held}
	}
	w := coldTime{openings: []opening{
		ago(1500, 1001, true), // earlier
		ago(1001, 999, true),  // sent earlier
		ago(1000, 998, true),
		ago(500, 400, false), // its VM could not know
		ago(0, 0, true),
	}}
	if all, held := w.inSecond(now); all != 3 || held != 2 || len(w.openings) != 4 {
		t.Errorf("%d openings, %d of them held, %d kept, want 3, 2 and 4", all, held, len(w.openings))
	}
}
