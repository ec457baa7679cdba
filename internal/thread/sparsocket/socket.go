// Package sparsocket opens the datagram sockets of a VM.
//
// The kernel queues datagrams while the thread that reads them is not running; what
// does not fit is lost without a sign:
//
//	conn, err := sparsocket.Listen("10.1.0.10:8172", 4<<20)
//	go intake(conn)
package sparsocket

import (
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// Listen opens a UDP socket at an IPv4 address and port. It asks the kernel for queues
// of the given number of bytes in each direction, which may be cut to the system's limit.
func Listen(address string, queue int) (conn *net.UDPConn, err error) {
	defer func() { err = errors.Annotatef(err, "socket %s", address) }()
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(queue)  // a smaller queue loses more under load, no more
	_ = conn.SetWriteBuffer(queue) // the same
	return conn, nil
}
