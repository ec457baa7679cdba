// Package sparport finds free ports on loopback for VMs and stand-ins.
//
//	at, err := sparport.Free() // "127.0.0.1:24017"
//
// The ports are below those that systems give to outgoing connections, so that no connection takes one
// before its listener opens it.
package sparport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	firstPort = 20_000
	ports     = 12_000 // tried before one is returned again
	tries     = 100
)

// last is the port that was tried last, counted from firstPort. Processes begin at different ones.
var last atomic.Uint32

func init() { last.Store(rand.Uint32N(ports)) }

// Free returns a loopback address whose port is free for TCP and for UDP. It returns no address
// twice, since the port of an earlier one may not be open yet.
func Free() (address string, err error) {
	defer func() { err = errors.Annotate(err, "finding a free port") }()
	for range tries {
		address = fmt.Sprintf("127.0.0.1:%d", firstPort+last.Add(1)%ports)
		if err = check(address); err == nil {
			return address, nil
		}
	}
	return "", err
}

// check reports an error if an address is taken for TCP or for UDP.
func check(address string) (err error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	return conn.Close()
}
