package sparsoak

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// maxViolations bounds a report. Violations after the first few mostly repeat them.
const maxViolations = 20

type (
	// checker compares what clients and upstreams observe with the invariants.
	checker struct {
		testbed *testbed

		mu          sync.Mutex
		report      Report
		ran         map[string]uint64 // ID of the upstream that ran each request
		upstreams   map[flowKey]flowUpstream
		misrouted   map[flowKey]int      // packets of a flow that reached other upstreams
		drainStarts map[uint64]time.Time // when the store accepted the drain of each upstream
		cold        map[*sparfake.Server]*coldTime
		overload    overload
	}

	flowKey struct {
		client, route sparflow.Endpoint
	}

	// flowUpstream is the upstream that accepted the SYN of a flow, and when.
	flowUpstream struct {
		server *sparfake.Server
		at     time.Time
	}
)

func newChecker(t *testbed) *checker {
	return &checker{
		testbed: t, ran: map[string]uint64{}, upstreams: map[flowKey]flowUpstream{}, misrouted: map[flowKey]int{},
		drainStarts: map[uint64]time.Time{}, cold: map[*sparfake.Server]*coldTime{},
	}
}

// violated records that an invariant did not hold.
func (c *checker) violated(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(rule, format, args...)
}

// addViolation does the same for a caller that holds mu.
func (c *checker) addViolation(rule, format string, args ...any) {
	if len(c.report.Broken) >= maxViolations {
		return
	}
	v := Violation{Rule: rule, At: time.Since(c.testbed.began).Seconds(), Text: fmt.Sprintf(format, args...)}
	c.report.Broken = append(c.report.Broken, v)
	c.testbed.plan.Progress(fmt.Sprintf("%7.3f BROKEN %s: %s", v.At, v.Rule, v.Text))
}

func (c *checker) addFault(line string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Faults = append(c.report.Faults, line)
}

// trace adds a line about what is no violation. The caller holds mu.
func (c *checker) trace(format string, args ...any) {
	line := fmt.Sprintf("%7.3f %s", time.Since(c.testbed.began).Seconds(), fmt.Sprintf(format, args...))
	c.report.Faults = append(c.report.Faults, line)
	c.testbed.plan.Progress(line)
}

// snapshot returns a copy of the report so far.
func (c *checker) snapshot() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	r.Faults, r.Broken, r.Ran = slices.Clone(r.Faults), slices.Clone(r.Broken), len(c.ran)
	return r
}

// checkRecovery checks that enough of the requests since before were served.
// It runs some time after the last fault.
func (c *checker) checkRecovery(before Report) {
	now := c.snapshot()
	requested, served := now.Requests-before.Requests, now.Served-before.Served
	if requested == 0 || float64(served) < minServed*float64(requested) {
		c.violated("RECOVER", "%d of %d requests served, %v after the last fault", served, requested, recoveryTime)
	}
}

// Opened implements sparfake.Observer.
func (c *checker) Opened(s *sparfake.Server, client, route sparflow.Endpoint, vm netip.AddrPort) {
	v := c.testbed.vmAt(vm)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Openings++
	c.upstreams[flowKey{client, route}] = flowUpstream{server: s, at: time.Now()}
	if want := serviceOf(route); want != s.Service {
		c.addViolation("ROUTE", "%s sent an opening for %s to upstream %x of %s", v.name, route, s.ID, s.Service)
	}
	since, ok := c.drainStarts[s.ID]
	if elapsed := time.Since(since); ok && elapsed > Force && c.testbed.faultLog.stable(v.name, storeParty) {
		c.addViolation("DRAIN", "%s opened a flow at upstream %x, %v after it began to drain", v.name, s.ID, elapsed.Round(time.Millisecond))
	}
	c.checkEvacuated(s, v)
}

// Ran implements sparfake.Observer.
func (c *checker) Ran(s *sparfake.Server, route sparflow.Endpoint, request string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, ok := c.ran[request]; ok && route == onceRoute {
		c.addViolation("TWICE", "request %s ran at upstreams %x and %x", request, before, s.ID)
	}
	c.ran[request] = s.ID
}

// UnknownFlow implements sparfake.Observer.
func (c *checker) UnknownFlow(s *sparfake.Server, client, route sparflow.Endpoint, vm netip.AddrPort) {
	v := c.testbed.vmAt(vm)
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.upstreams[flowKey{client, route}]
	if !ok || u.server == s || !c.testbed.faultLog.stable(v.name, u.server.At.String()) {
		return
	}
	c.misrouted[flowKey{client, route}]++
	if c.misrouted[flowKey{client, route}] == 3 {
		c.addViolation("FLOW", "%s sent packets of a flow at upstream %x to upstream %x", v.name, u.server.ID, s.ID)
	}
}

// Blocked implements sparfake.Observer.
func (c *checker) Blocked(s *sparfake.Server, vm netip.AddrPort) bool {
	c.testbed.mu.Lock()
	defer c.testbed.mu.Unlock()
	return c.testbed.blocked[link{vm, s.ID}]
}

// checkResponse checks that the response belongs to its request, and that the expected
// service and upstream sent it.
func (c *checker) checkResponse(route sparflow.Endpoint, request, response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Served++
	want := fmt.Sprintf("%s|%s|%x", request, serviceOf(route), c.ran[request])
	if response != want {
		c.addViolation("MIXED", "answer %q to request %q, want %q", response, request, want)
	}
}

// checkReset checks a reset that a client received on an open flow. Only the upstream
// of the flow may reset it while that upstream is running and reachable.
func (c *checker) checkReset(f *sparfake.Flow) {
	client, route := f.Ends()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Resets++
	u, ok := c.upstreams[flowKey{client, route}]
	if !ok || !c.testbed.faultLog.stable(u.server.At.String()) {
		return
	}
	from := sparflow.FromAddrPort(f.ResetBy)
	v := c.testbed.vmAt(f.ResetBy)
	switch {
	case f.ResetByServer && from != u.server.At:
		c.addViolation("FLOW", "a flow at upstream %x, which lives, was reset by upstream %s", u.server.ID, from)
	case !f.ResetByServer && v != nil && c.testbed.faultLog.stable(v.name):
		c.addViolation("FLOW", "%s reset a flow at upstream %x, which lives", v.name, u.server.ID)
	}
}

// count updates the counters of the report.
func (c *checker) count(add func(r *Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.report)
}

// drainStarted records that the store has accepted the draining state of an upstream.
func (c *checker) drainStarted(s *sparfake.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStarts[s.ID] = time.Now()
}

func serviceOf(route sparflow.Endpoint) string {
	switch route {
	case receiptsRoute:
		return receipts
	case urgentRoute, lessRoute:
		return orders
	}
	return booking
}
