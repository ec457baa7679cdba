package sparevidence_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// TestBudget sends as many reports as the budget lets through while each tick has bad evidence.
func TestBudget(t *testing.T) {
	var b sparevidence.Budget
	sent := 0
	for now := time.Minute; now < 2*time.Minute; now += step {
		for range sparevidence.MaxPeers {
			if b.Take(now, 250) {
				sent += 250
			}
		}
	}
	if most := 61 * 4096; sent > most || sent < most/2 {
		t.Errorf("%d bytes in a minute, want at most 4 KB a second", sent)
	}
}
