package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// TestCopyLeavesSuspectDomain checks that a copy of a SYN goes to another domain than that of the
// silent upstream if that domain is suspect.
func TestCopyLeavesSuspectDomain(t *testing.T) {
	f := newDomains(t, "north", "east")
	var clients []*client
	for range 3 {
		c := f.newClient(bookingAddr)
		c.open()
		clients = append(clients, c)
	}
	f.wait(retransmitAfter)
	for _, c := range clients {
		v := c.open()
		wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Moved)
		if domain := f.domainOf(v.ID); domain != "east" {
			t.Errorf("the copy went to %s", domain)
		}
	}
}

// TestUpstreamsOfSuspectDomainChange changes the settings while a domain is suspect.
func TestUpstreamsOfSuspectDomainChange(t *testing.T) {
	f := newDomains(t, "north", "east")
	f.serve(time.Second, only("north"))
	for id := range uint64(domainUpstreams - 2) {
		f.remove(id + 1)
	}
	f.serve(time.Second, only("north"))
	if got := f.serve(4*time.Second, only()); got.answered["north"] == 0 {
		t.Errorf("flows %v, want some in north, whose two upstreams answer", got.answered)
	}
	f.upstreams = f.upstreams[2:] // the domain is gone
	f.apply()
	if got := f.serve(time.Second, only()); got.answered["east"] < 29 {
		t.Errorf("flows %v, want them in east", got.answered)
	}
}
