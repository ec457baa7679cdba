package sparcookie_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

const (
	booking         = "booking"
	receipts        = "receipts"
	rtt             = 7 * time.Millisecond
	retransmitAfter = 200 * time.Millisecond // after which a client retransmits
	tickEvery       = 50 * time.Millisecond
)

var (
	bookingAddr  = mustEndpoint("198.51.100.1:80")
	bookingAddr2 = mustEndpoint("198.51.100.1:81")
	receiptsAddr = mustEndpoint("198.51.100.1:82")   // of another service
	unroutedAddr = mustEndpoint("198.51.100.9:9999") // has no route
)

// fixture is an engine with a roster that tests can change.
type fixture struct {
	t         *testing.T
	engine    *sparcookie.Engine
	now       time.Duration
	upstreams []sparroster.Upstream
	unusable  []uint64 // upstreams whose entries can't be used
	evacuated []string // failure domains
	routes    []sparroster.Route
	vmDomains []string // failure domains of vm-2 and the next ones
	port      uint16
	awaiting  []response // by time
}

// response is the acknowledgement of a response that is due at a time.
type response struct {
	at time.Duration
	c  *client
}

func mustEndpoint(s string) sparflow.Endpoint {
	e, err := sparflow.ParseEndpoint(s)
	if err != nil {
		panic(err)
	}
	return e
}

func newUpstream(id uint64, domain string) sparroster.Upstream {
	return sparroster.Upstream{
		ID: id, Service: booking, Domain: domain, Slots: 2, Born: int64(id),
		At: sparflow.MakeEndpoint(0x0a000000+uint32(id), 8080),
	}
}

// newFixture returns a fixture with three upstreams of a service in the failure domain of
// the VM and two in another one.
func newFixture(t *testing.T) *fixture {
	f := &fixture{
		t: t, engine: sparcookie.New("vm-1", "north", 10_000), now: time.Second, port: 1000,
		vmDomains: []string{"south", "south", "south"},
	}
	for id := range uint64(5) {
		domain := "north"
		if id > 2 {
			domain = "south"
		}
		f.upstreams = append(f.upstreams, newUpstream(id+1, domain))
	}
	other := newUpstream(50, "north")
	other.Service = receipts
	f.upstreams = append(f.upstreams, other)
	f.routes = []sparroster.Route{
		{Address: bookingAddr, Targets: []sparroster.Target{{Service: booking, Weight: 1}}},
		{Address: bookingAddr2, Targets: []sparroster.Target{{Service: booking, Weight: 1}}},
		{Address: receiptsAddr, Targets: []sparroster.Target{{Service: receipts, Weight: 1}}},
	}
	f.apply()
	f.engine.SetFresh(true)
	f.wait(time.Second) // the start is over
	return f
}

// apply puts the roster of the fixture in force.
func (f *fixture) apply() {
	registry := sparregistry.Registry{}
	facts := map[string]sparroster.Fact{sparroster.RoutingKey: sparroster.Routing{Version: 1, Routes: f.routes, Idle: 15 * time.Second}}
	for n, domain := range append([]string{"north"}, f.vmDomains...) {
		name := fmt.Sprintf("vm-%d", n+1)
		facts[sparroster.VMPrefix+name] = sparroster.VM{VM: sparconfig.VM{Name: name, Domain: domain, Data: fmt.Sprintf("10.9.0.%d:1", n+1)}}
	}
	for _, u := range f.upstreams {
		facts[fmt.Sprint(sparroster.UpstreamPrefix, u.ID)] = u
	}
	for _, id := range f.unusable {
		facts[fmt.Sprint(sparroster.UpstreamPrefix, id)] = sparroster.Unusable{ID: id}
	}
	for _, domain := range f.evacuated {
		facts[sparroster.EvacuationPrefix+domain] = sparroster.Evacuation{Domain: domain}
	}
	for key := range facts {
		registry = registry.With(sparregistry.Entry{Key: key, Revision: 1})
	}
	f.engine.Advance(f.now)
	f.engine.Apply(sparroster.New(registry, func(key string, _ []byte) (sparroster.Fact, error) { return facts[key], nil }))
}

// edit changes one upstream in the roster.
func (f *fixture) edit(id uint64, change func(u *sparroster.Upstream)) {
	for i := range f.upstreams {
		if f.upstreams[i].ID == id {
			change(&f.upstreams[i])
		}
	}
	f.apply()
}

// remove removes one upstream from the roster.
func (f *fixture) remove(id uint64) {
	kept := f.upstreams[:0]
	for _, u := range f.upstreams {
		if u.ID != id {
			kept = append(kept, u)
		}
	}
	f.upstreams = kept
	f.apply()
}

// requestOf opens a flow at once, sends a request whose response arrives after a time, and returns
// the upstream.
func (f *fixture) requestOf(work time.Duration) (upstream uint64) {
	c := f.newClient(bookingAddr)
	c.open()
	c.s.Seq, c.s.Ack = 101, 500
	f.forward(c.s)
	c.request()
	f.awaiting = append(f.awaiting, response{at: f.now + work, c: c})
	return c.upstream
}

// respond delivers the responses that are due.
func (f *fixture) respond() {
	for len(f.awaiting) > 0 && f.awaiting[0].at <= f.now {
		f.awaiting[0].c.ackResponse()
		f.awaiting = f.awaiting[1:]
	}
}

// wait lets time pass, with a tick each tickEvery as in a VM.
func (f *fixture) wait(d time.Duration) {
	for ; d > tickEvery; d -= tickEvery {
		f.pause(tickEvery)
	}
	f.pause(d)
}

// pause lets time pass without a tick until its end.
func (f *fixture) pause(d time.Duration) {
	f.now += d
	f.respond()
	f.engine.Advance(f.now)
	f.engine.Tick()
}

func (f *fixture) forward(s sparcookie.Segment) sparcookie.Verdict {
	f.engine.Advance(f.now)
	return f.engine.Forward(s)
}

// client is the client side of one flow.
type client struct {
	f        *fixture
	s        sparcookie.Segment
	upstream uint64
}

func (f *fixture) newClient(to sparflow.Endpoint) *client {
	f.port++
	return &client{f: f, s: sparcookie.Segment{From: sparflow.MakeEndpoint(0x64400001, f.port), To: to, Seq: 100}}
}

// openFlow returns the client of a new flow whose handshake is done.
func (f *fixture) openFlow() *client {
	c := f.newClient(bookingAddr)
	c.open()
	c.ackHandshake()
	return c
}

// open sends the SYN.
func (c *client) open() sparcookie.Verdict {
	s := c.s
	s.Kind = sparcookie.SYN
	v := c.f.forward(s)
	c.upstream, c.s.Cookie = v.ID, v.Cookie
	return v
}

// ackHandshake acknowledges the SYN-ACK.
func (c *client) ackHandshake() sparcookie.Verdict {
	c.f.wait(rtt)
	c.s.Seq, c.s.Ack = 101, 500
	return c.f.forward(c.s)
}

// request sends a request. It sends the same one until ackResponse is called.
func (c *client) request() sparcookie.Verdict {
	s := c.s
	s.Size = 100
	return c.f.forward(s)
}

// ackResponse acknowledges the response to a request.
func (c *client) ackResponse() sparcookie.Verdict {
	c.s.Seq += 100
	c.s.Ack += 400
	return c.f.forward(c.s)
}

func wantVerdict(t *testing.T, got sparcookie.Verdict, action sparcookie.Action, cause sparcookie.Cause) {
	t.Helper()
	if got.Action != action || got.Cause != cause {
		t.Fatalf("verdict %v %v, want %v %v", got.Action, got.Cause, action, cause)
	}
}

// Example opens a flow at one VM and continues it at another that has no record of it.
func Example() {
	t := &testing.T{}
	first, second := newFixture(t), newFixture(t)
	c := first.newClient(bookingAddr)
	c.open()
	other := &client{f: second, s: c.s}
	fmt.Println(other.ackHandshake().ID == c.upstream)
	// Output: true
}
