package sparserver

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/oleanderspar/oleanderspar/internal/log/sparmetrics"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

const (
	udpHeader  = 28  // bytes of the IPv4 and UDP headers, counted as control bytes with the payload
	httpHeader = 700 // bytes of the headers of a twirp call, counted likewise
)

// metrics holds the counters of one VM and publishes them through tally.
type metrics struct {
	parser        sparpacket.Parser
	scope         tally.Scope
	closer        io.Closer
	http          http.Handler
	published     time.Time
	last          sparroute.Stats
	badPackets    map[string]int64
	badControl    atomic.Uint64
	platformCalls atomic.Uint64
	control       atomic.Uint64
	lastCalls     uint64
	lastControl   uint64
	lastBad       uint64
}

func newMetrics() *metrics {
	set := sparmetrics.New()
	return &metrics{scope: set.Scope, closer: set, http: set.Handler, badPackets: map[string]int64{}}
}

// countBadPacket counts a datagram refused by the parser, by cause.
func (m *metrics) countBadPacket(err error) {
	m.badPackets[err.Error()]++
}

// countDatagram counts the bytes of a datagram to another VM with a payload of n bytes.
func (m *metrics) countDatagram(n int) {
	m.control.Add(uint64(n + udpHeader))
}

// countBytes returns an HTTP client that counts the bytes sent by twirp calls.
func (m *metrics) countBytes(next http.RoundTripper) *http.Client {
	return &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
		m.control.Add(uint64(max(r.ContentLength, 0)) + httpHeader)
		return next.RoundTrip(r)
	})}
}

type roundTripper func(r *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// publish updates the metrics about once a second.
func (m *metrics) publish(s *Server) {
	now := time.Now()
	if now.Sub(m.published) < sparmetrics.PublishEvery {
		return
	}
	m.published = now
	stats := s.node.Engine.Stats()
	add := func(name string, now, before uint64) { m.scope.Counter(name).Inc(int64(now - before)) }
	add("openings", stats.Openings, m.last.Openings)
	add("overrides", stats.Overrides, m.last.Overrides)
	add("redirects", stats.Redirects, m.last.Redirects)
	add("refused_openings", stats.Refused, m.last.Refused)
	add("aborted_packets", stats.Aborted, m.last.Aborted)
	add("moved_openings", stats.Retries, m.last.Retries)
	for _, c := range sparroute.Causes() {
		scope := m.scope.Tagged(map[string]string{"cause": c.String()})
		scope.Counter("dropped_packets").Inc(int64(stats.Drops[c] - m.last.Drops[c]))
	}
	m.last = stats
	for cause, n := range m.badPackets {
		m.scope.Tagged(map[string]string{"cause": cause}).Counter("refused_packets").Inc(n)
	}
	clear(m.badPackets)
	calls, control, bad := m.platformCalls.Load(), m.control.Load(), m.badControl.Load()
	add("platform_calls", calls, m.lastCalls)
	add("control_bytes", control, m.lastControl)
	add("refused_control", bad, m.lastBad)
	m.lastCalls, m.lastControl, m.lastBad = calls, control, bad
	for service, counts := range s.node.Engine.Loads() {
		for _, c := range counts {
			tags := map[string]string{"service": service, "upstream": c.At.String()}
			m.scope.Tagged(tags).Gauge("open_flows").Update(float64(c.Flows))
		}
	}
	domains, flows := s.node.Evacuated()
	m.scope.Gauge("evacuated_domains").Update(float64(domains))
	m.scope.Gauge("evacuated_flows").Update(float64(flows))
	m.scope.Gauge("settings_revision").Update(float64(s.node.Snapshot().At.Revision))
	m.scope.Gauge("platform_era").Update(float64(s.node.Snapshot().At.Era))
	m.scope.Gauge("full_rings").Update(float64(s.packets.Refused() + s.sends.Refused() + s.inputs.Refused()))
}
