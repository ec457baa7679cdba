// Package sparhost holds fakes of clients and upstreams, for tests and the demo.
//
// Both implement enough of TCP to show how a load balancer affects it: the handshake, one
// request at a time with retransmission, FIN and RST. A server responds to a request with
// its service and its address, so that a client sees where each response came from:
//
//	server, err := sparhost.NewServer(fabric, sparhost.ServerConfig{At: at, Service: "booking"})
//	client, err := sparhost.NewClient(fabric)
//	conn, err := client.Open(ctx, from, service, "booking")
//	response, err := conn.Do(ctx, "hold-1")
package sparhost

import (
	"net"
	"net/netip"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparfabric"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

// link is the socket between a host and the fabric.
type link struct {
	conn   *net.UDPConn
	fabric netip.AddrPort
}

func newLink(fabric netip.AddrPort) (l *link, err error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Annotate(err, "host")
	}
	_ = conn.SetReadBuffer(4 << 20)
	return &link{conn: conn, fabric: fabric}, nil
}

func (l *link) send(s sparpacket.Segment) {
	datagram := sparpacket.Wrap(nil, sparpacket.Build(s), 0)
	_, _ = l.conn.WriteToUDPAddrPort(datagram, l.fabric) // lost packets are retransmitted
}

// announce announces an endpoint to the fabric.
func (l *link) announce(at sparflow.Endpoint) {
	l.send(sparpacket.Segment{From: at, To: sparfabric.Hello, Proto: sparflow.UDP})
}

// run passes packets to receive until the link is closed.
func (l *link) run(receive func(v sparpacket.View)) {
	buffer := make([]byte, sparpacket.MaxBytes)
	var parser sparpacket.Parser
	for {
		size, _, err := l.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if v, err := parser.Parse(buffer[:size]); err == nil {
			receive(v)
		}
	}
}
