// Package sparsocket opens the UDP sockets of a VM.
//
// The kernel queues datagrams while the goroutine that reads them is not running. It drops
// those that don't fit into the socket buffer without any error, so its size is given:
//
//	conn, err := sparsocket.Listen("10.1.0.10:8172", 4<<20)
//	go readData(conn)
package sparsocket

import (
	"net"
	"net/netip"

	"github.com/juju/errors"
)

// Listen opens a UDP socket at an IPv4 address and port. It requests socket buffers of the
// given number of bytes in each direction; the kernel may reduce them to the system's limit.
func Listen(address string, buffer int) (conn *net.UDPConn, err error) {
	defer func() { err = errors.Annotatef(err, "socket %s", address) }()
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	// An error isn't fatal: a smaller buffer only drops more datagrams under load.
	_ = conn.SetReadBuffer(buffer)
	_ = conn.SetWriteBuffer(buffer)
	return conn, nil
}
