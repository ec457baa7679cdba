package sparcookie_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

const (
	domainUpstreams = 30                    // in each failure domain
	openingGap      = 33 * time.Millisecond // between two new flows at a VM, 30 a second
	latestOpening   = 50 * time.Millisecond // within which an upstream answers a SYN
)

// newDomains returns a fixture of a VM in the first of the failure domains, each with
// domainUpstreams upstreams.
func newDomains(t *testing.T, domains ...string) *fixture {
	return newDomainsVM(t, "vm-1", domains...)
}

// newDomainsVM is newDomains for a VM called name.
func newDomainsVM(t *testing.T, name string, domains ...string) *fixture {
	f := newFixture(t)
	f.upstreams = nil
	for i, domain := range domains {
		for n := range domainUpstreams {
			f.upstreams = append(f.upstreams, newUpstream(uint64(i*domainUpstreams+n+1), domain))
		}
	}
	f.engine = sparcookie.New(name, domains[0], 10_000)
	f.apply()
	f.engine.SetFresh(true)
	f.wait(time.Second) // the start is over
	return f
}

// openings counts SYNs that were sent.
type openings struct {
	answered map[string]int // by failure domain
	lost     map[string]int
	lostAt   map[uint64]int // by upstream
	copies   int            // copies that were lost again
}

// serve opens a flow each openingGap for a while. Upstreams of the silent failure domains don't
// answer. A client sends a copy of an unanswered SYN after retransmitAfter, and each flow that
// opened ends after one request.
func (f *fixture) serve(d time.Duration, silent func(domain string) bool) (o openings) {
	o = openings{answered: map[string]int{}, lost: map[string]int{}, lostAt: map[uint64]int{}}
	var waiting []*client
	var since []time.Duration
	for end := f.now + d; f.now < end; {
		for len(waiting) > 0 && f.now-since[0] >= retransmitAfter {
			c := waiting[0]
			waiting, since = waiting[1:], since[1:]
			if v := c.open(); silent(f.domainOf(v.ID)) {
				o.copies++
				continue
			}
			c.finish()
		}
		began := f.now
		c := f.newClient(bookingAddr)
		v := c.open()
		if domain := f.domainOf(v.ID); silent(domain) {
			o.lost[domain]++
			o.lostAt[v.ID]++
			waiting, since = append(waiting, c), append(since, f.now)
		} else {
			o.answered[domain]++
			c.finish()
		}
		f.wait(began + openingGap - f.now)
	}
	return o
}

// finish completes the handshake and one request, and closes the flow.
func (c *client) finish() {
	c.ackHandshake()
	c.request()
	c.f.wait(rtt)
	c.s.Kind = sparcookie.FIN
	c.ackResponse()
}

func only(silent ...string) func(domain string) bool {
	return func(domain string) bool {
		for _, s := range silent {
			if s == domain {
				return true
			}
		}
		return false
	}
}

// wantDomainEvents fails unless the failure domains became suspect, or ceased to be, in this order.
func wantDomainEvents(t *testing.T, f *fixture, want ...string) {
	t.Helper()
	var got []string
	for _, event := range f.engine.Events() {
		if e, ok := event.(sparcookie.DomainChanged); ok {
			got = append(got, fmt.Sprintf("%s %v", e.Domain, e.Suspect))
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("changes of failure domains %v, want %v", got, want)
	}
}

// TestDomainFails covers the upstreams of a failure domain that are down together for 4 s, while
// each VM gets 30 new flows a second. Before, each upstream of the domain cost a SYN of each VM.
func TestDomainFails(t *testing.T) {
	for _, silent := range []string{"north", "east"} {
		t.Run(silent, func(t *testing.T) {
			f := newDomains(t, "north", "east", "south", "west")
			f.serve(2*time.Second, only())
			got := f.serve(500*time.Millisecond, only(silent))
			// Three SYNs until the third is overdue, and those sent meanwhile.
			if most := 3 + int(latestOpening/openingGap) + 1; got.lost[silent] > most {
				t.Errorf("%d SYNs lost in the first half second, want at most %d", got.lost[silent], most)
			}
			got = f.serve(3500*time.Millisecond, only(silent))
			if got.lost[silent] > 4 {
				t.Errorf("%d SYNs lost in the next 3.5 s, want one probe a second at most", got.lost[silent])
			}
			if got.copies > 0 {
				t.Errorf("%d copies of SYNs were lost too", got.copies)
			}
			for id, n := range got.lostAt {
				if n > 1 {
					t.Errorf("upstream %d was probed %d times, want turns", id, n)
				}
			}
		})
	}
}

// TestDomainRecovers checks that a failure domain that answers again gets the flows of its VMs
// back within seconds, and none of its upstreams more at once than it can queue.
func TestDomainRecovers(t *testing.T) {
	const vms = 16
	var fleet []*fixture
	for n := range vms {
		f := newDomainsVM(t, fmt.Sprint("vm-", n+1), "north", "east", "south", "west")
		f.port = uint16(1000 * n)
		f.serve(4*time.Second, only("north"))
		fleet = append(fleet, f)
	}
	flows, slots := map[uint64]int{}, 10
	for span := range 30 {
		clear(flows)
		for _, f := range fleet {
			for range 3 { // new flows in 100 ms
				c := f.newClient(bookingAddr)
				v := c.open()
				flows[v.ID]++
				c.finish()
				f.wait(openingGap - 2*rtt)
			}
		}
		for id, n := range flows {
			if n > slots {
				t.Errorf("upstream %d got %d flows of %d VMs within 100 ms at %d ms, want at most %d", id, n, vms, span*100, slots)
			}
		}
	}
	for _, f := range fleet {
		if got := f.serve(time.Second, only()); got.answered["north"] < 27 {
			t.Errorf("flows by failure domain %v 3 s after the return, want those of north", got.answered)
		}
		wantDomainEvents(t, f, "north true", "north false")
	}
}

// TestDomainFailsAgain checks that a domain that fails while it comes back is suspect again.
func TestDomainFailsAgain(t *testing.T) {
	f := newDomains(t, "north", "east", "south", "west")
	f.serve(2*time.Second, only("north"))
	f.serve(1500*time.Millisecond, only())
	got := f.serve(2*time.Second, only("north"))
	if got.lost["north"] > 7 {
		t.Errorf("%d SYNs lost in 2 s, want at most 7: five until the domain is suspect, two probes", got.lost["north"])
	}
}

// TestDomainPartlyAnswers checks that a domain is not suspect while any of its upstreams answers:
// half of them have failed, and the others stay preferred.
func TestDomainPartlyAnswers(t *testing.T) {
	f := newDomains(t, "north", "east")
	failed := func(id uint64) bool { return id%2 == 0 }
	f.openMany(100, failed)
	got := f.openMany(200, failed)
	for id := range got {
		if f.domainOf(id) != "north" {
			t.Fatalf("flows %v, want them in the own failure domain", got)
		}
	}
	wantDomainEvents(t, f)
}

// TestLostSYNsSuspectNoDomain loses a tenth of the SYNs at random on the way.
func TestLostSYNsSuspectNoDomain(t *testing.T) {
	f := newDomains(t, "north", "east")
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		c := f.newClient(bookingAddr)
		c.open()
		if random.IntN(10) > 0 {
			c.finish()
		}
		f.wait(openingGap)
	}
	wantDomainEvents(t, f)
}

// TestAllDomainsSilent checks that SYNs are spread as without suspicion if no domain answers: the
// fault may be at this VM.
func TestAllDomainsSilent(t *testing.T) {
	f := newDomains(t, "north", "east")
	all := only("north", "east")
	f.serve(4*time.Second, all)
	got := f.serve(2*time.Second, all)
	for id, n := range got.lostAt {
		if n > 6 {
			t.Errorf("%d of 60 SYNs at upstream %d, want them spread", n, id)
		}
	}
	if got := f.serve(4*time.Second, only()); got.answered["north"] < 100 {
		t.Errorf("flows %v once all answer again, want those of north", got.answered)
	}
}
