// Package sparsocket opens the UDP sockets of a VM.
//
// The kernel queues datagrams while the goroutine that reads them is not running. It drops
// those that don't fit into the queue without any error, so the size of the queue is given:
//
//	conn, err := sparsocket.Listen("10.1.0.10:8172", 4<<20)
//	go readData(conn)
package sparsocket

import (
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// Listen opens a UDP socket at an IPv4 address and port. It requests a queue of the given
// number of bytes in each direction; the kernel may reduce it to the system's limit.
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
	// An error isn't fatal: a smaller queue only drops more datagrams under load.
	_ = conn.SetReadBuffer(queue)
	_ = conn.SetWriteBuffer(queue)
	return conn, nil
}
