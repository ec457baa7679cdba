package sparsoak

import (
	"net/netip"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	warmSpan = time.Second
	// minStarved is how many openings its service must have had for a cold upstream to count as
	// starved.
	minStarved = 50
)

type (
	// coldTime is the warm-up of an upstream.
	coldTime struct {
		until    time.Time
		again    bool      // VMs may know its ID as that of an upstream that is warm
		told     time.Time // when the store accepted the entry that says that it warms up
		openings []opening // of the last second
		total    int
		exceeded bool // by openings that are not held
	}

	// opening is a SYN that an upstream has accepted during its warm-up.
	opening struct {
		sent, arrived time.Time
		held          bool // its VM must know that the upstream warms up
	}
)

// sentAt returns when a client sent the SYN of a flow, or one of its copies.
func (t *testbed) sentAt(client sparflow.Endpoint, copied uint32) (at time.Time, ok bool) {
	for _, c := range t.clients {
		if at, ok = c.SentAt(client, copied); ok {
			return at, true
		}
	}
	return time.Time{}, false // of the few flows that check routes
}

func (c *checker) startCold(s *sparfake.Server, until time.Time, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold[s] = &coldTime{until: until, again: again}
}

func (c *checker) coldIsTold(s *sparfake.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.cold[s]; w != nil {
		w.told = time.Now()
	}
}

// isCold reports whether an upstream warms up, or VMs may still take it so.
func (c *checker) isCold(s *sparfake.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.cold[s]
	return w != nil && time.Since(w.until) < Force+responseTimeout
}

// Accepted implements sparfake.OpeningObserver. It checks each second that ends with an opening, over
// all VMs. What was sent before that second or arrives after it doesn't count.
func (c *checker) Accepted(s *sparfake.Server, client sparflow.Endpoint, copied uint32, vm netip.AddrPort) {
	now, v := time.Now(), c.testbed.vmAt(vm)
	sent, ok := c.testbed.sentAt(client, copied)
	if !ok {
		sent = now
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.cold[s]
	if w == nil || now.After(w.until) {
		return
	}
	held := !w.again || !w.told.IsZero() && now.Sub(w.told) > Force && c.testbed.faultLog.stable(v.name, storeParty)
	w.openings = append(w.openings, opening{sent, now, held})
	w.total++
	c.report.Cold++
	all, counted := w.inSecond(now)
	switch {
	case held && counted > warmLimit:
		c.addViolation("FAILBACK", "upstream %x got %d openings in a second, the last from %s, limit %d; cold for another %v",
			s.ID, counted, v.name, warmLimit, w.until.Sub(now).Round(time.Millisecond))
	case all > warmLimit && all > counted && !w.exceeded:
		w.exceeded = true
		c.report.Unheld++
		c.trace("not held: upstream %x, again under its ID, got %d openings in a second, %d of VMs that know of it, the last from %s",
			s.ID, all, counted, v.name)
	}
}

// inSecond returns the openings that were sent and arrived in the second that ends now, and how many
// of them are held. It forgets those that arrived earlier.
func (w *coldTime) inSecond(now time.Time) (all, held int) {
	from := now.Add(-warmSpan)
	for len(w.openings) > 0 && w.openings[0].arrived.Before(from) {
		w.openings = w.openings[1:]
	}
	for _, o := range w.openings {
		if o.sent.Before(from) {
			continue
		}
		all++
		if o.held {
			held++
		}
	}
	return all, held
}

// addLastCold lets cold upstreams join, one in each failure domain, while nothing else happens.
func (t *testbed) addLastCold() (list []*sparfake.Server) {
	for n := range 2 {
		s, err := t.addServerIn(booking, zoneOf(n), recoveryTime+measureTime+time.Second)
		if err != nil {
			t.reportFault("no cold upstream added: %v", err)
			continue
		}
		list = append(list, s)
	}
	return list
}

// checkStarved checks that upstreams which warm up got openings from VMs that are well.
func (c *checker) checkStarved(list []*sparfake.Server, before Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range list {
		if n := c.report.Openings - before.Openings; c.cold[s].total == 0 && n >= minStarved {
			c.addViolation("STARVED", "upstream %x, which warms up, got none of %d openings", s.ID, n)
		}
	}
}
