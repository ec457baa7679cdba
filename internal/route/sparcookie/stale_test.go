package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

const (
	// shortPause is shorter than it takes the fabric to send copies of a SYN to another VM.
	shortPause = 450 * time.Millisecond
	longPause  = 1800 * time.Millisecond
	// catchUpTime is at least what a VM needs to read what waited for it.
	catchUpTime = 300 * time.Millisecond
)

// TestSYNThatWaitedForAPause guards against a SYN that waited while the VM stood still and then goes to another
// upstream than the one at which its client has opened the flow through another VM: the answer takes
// the flow along, and ends it.
func TestSYNThatWaitedForAPause(t *testing.T) {
	f := newFixture(t)
	known := f.newClient(bookingAddr)
	known.open()
	known.ackHandshake()
	copied := f.newClient(bookingAddr)
	copied.open()
	waited, refused := f.newClient(bookingAddr), f.newClient(unroutedAddr)
	f.pause(longPause)
	for name, c := range map[string]*client{"first SYN": waited, "copy of a SYN": copied, "SYN without a route": refused} {
		if v := c.open(); v.Action != sparcookie.Drop || v.Cause != sparcookie.Stale {
			t.Errorf("%s: %v %v, want it dropped as stale", name, v.Action, v.Cause)
		}
	}
	if v := known.request(); v.Action != sparcookie.ToUpstream || v.ID != known.upstream {
		t.Errorf("request: %v %v, want it carried", v.Action, v.Cause)
	}
	f.wait(catchUpTime)
	if v := waited.open(); v.Action != sparcookie.ToUpstream {
		t.Errorf("copy after the pause: %v %v, want it placed", v.Action, v.Cause)
	}
}

// TestSYNAfterAShortPause guards against openings that are given up after pauses in which no other VM
// can have got the copies, and at the start.
func TestSYNAfterAShortPause(t *testing.T) {
	f := newFixture(t)
	f.pause(shortPause)
	if v := f.newClient(bookingAddr).open(); v.Action != sparcookie.ToUpstream {
		t.Errorf("%v %v after a short pause, want it placed", v.Action, v.Cause)
	}
	f.engine = sparcookie.New("vm-1", "north", 10_000)
	f.apply()
	if v := f.newClient(bookingAddr).open(); v.Action != sparcookie.ToUpstream {
		t.Errorf("%v %v at the start, want it placed", v.Action, v.Cause)
	}
}
