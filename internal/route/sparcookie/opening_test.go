package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// TestPauseMakesNoDomainSuspect pauses a VM with SYNs under way: the responses wait to be read.
func TestPauseMakesNoDomainSuspect(t *testing.T) {
	f := newDomains(t, "north", "east")
	var clients []*client
	for range 5 {
		c := f.newClient(bookingAddr)
		c.open()
		clients = append(clients, c)
	}
	f.pause(time.Second)
	for _, c := range clients {
		c.finish()
	}
	wantDomainEvents(t, f)
}

// TestSYNsThatWaitedForSettings forwards SYNs that came before the first settings: their clients may
// have given up, and nothing follows from their silence.
func TestSYNsThatWaitedForSettings(t *testing.T) {
	f := newDomains(t, "north", "east")
	f.engine = sparcookie.New("vm-1", "north", 10_000)
	f.apply()
	for range 5 {
		f.newClient(bookingAddr).open()
	}
	f.wait(time.Second)
	wantDomainEvents(t, f)
	if got := sum(f.engine.Observations()); got.Unanswered > 0 {
		t.Errorf("%+v, want no unanswered opening", got)
	}
}
