// Package sparflow identifies flows and caches their upstreams.
//
// A flow is one TCP connection or UDP exchange, given by its five-tuple. Every VM of a
// deployment computes the same 64-bit Key for it: the hash is keyed with a secret that
// is the same in all settings files.
//
//	hasher := sparflow.NewHasher(1, 2)
//	client, _ := sparflow.ParseEndpoint("203.0.113.9:40000")
//	service, _ := sparflow.ParseEndpoint("198.51.100.1:443")
//	key := hasher.Key(sparflow.Tuple{Client: client, Service: service, Proto: sparflow.TCP})
//	slot := key.Slot() // the hash slot of the service, 0 to Slots-1
//
// A Cache holds the upstreams of recently used flows. It is a hint that saves a redirect;
// the owner of the slot of a flow has the authoritative record.
package sparflow

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/dchest/siphash"
	"github.com/juju/errors"
)

const (
	// TCP is the IP protocol number of TCP.
	TCP Proto = 6
	// UDP is the IP protocol number of UDP.
	UDP Proto = 17

	// Slots is the number of hash slots of each service.
	Slots = 4096

	tupleBytes = 13
)

type (
	// Proto is an IP protocol number, TCP or UDP.
	Proto uint8

	// Endpoint is an IPv4 address and port packed into 48 bits: address<<16 | port.
	// The zero Endpoint means none.
	Endpoint uint64

	// Tuple is the five-tuple of a flow: client, service address and protocol.
	Tuple struct {
		Client  Endpoint
		Service Endpoint
		Proto   Proto
	}

	// Key identifies a flow. Equal tuples have equal keys on every VM.
	Key uint64

	// Hasher computes keys with the secret of the deployment.
	Hasher struct {
		k0, k1 uint64
	}
)

// NewHasher returns a Hasher for the 128-bit secret k0, k1.
func NewHasher(k0, k1 uint64) Hasher {
	return Hasher{k0: k0, k1: k1}
}

// Key returns the key of t. It is never 0.
func (h Hasher) Key(t Tuple) Key {
	var b [tupleBytes]byte
	binary.LittleEndian.PutUint64(b[:], uint64(t.Client)|uint64(t.Proto)<<48)
	b[7] = byte(t.Service >> 40)
	b[8] = byte(t.Service >> 32)
	binary.LittleEndian.PutUint32(b[9:], uint32(t.Service))
	key := Key(siphash.Hash(h.k0, h.k1, b[:]))
	if key == 0 {
		return 1
	}
	return key
}

// Slot returns the hash slot of the key, 0 to Slots-1.
func (k Key) Slot() int {
	return int(k % Slots)
}

// MakeEndpoint returns the Endpoint of a big-endian IPv4 address and a port.
func MakeEndpoint(ip uint32, port uint16) Endpoint {
	return Endpoint(uint64(ip)<<16 | uint64(port))
}

// ParseEndpoint parses "a.b.c.d:port". The port must not be 0.
func ParseEndpoint(s string) (e Endpoint, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "endpoint %q", s)
		}
	}()
	ap, err := netip.ParseAddrPort(s)
	if err != nil {
		return 0, errors.New("expected an IPv4 address and port such as 10.0.0.1:80")
	}
	if !ap.Addr().Is4() || ap.Port() == 0 {
		return 0, errors.New("expected an IPv4 address and a port from 1 to 65535")
	}
	return FromAddrPort(ap), nil
}

// FromAddrPort returns the Endpoint of ap, which must have an IPv4 address.
func FromAddrPort(ap netip.AddrPort) Endpoint {
	ip := ap.Addr().As4()
	return MakeEndpoint(binary.BigEndian.Uint32(ip[:]), ap.Port())
}

// IP returns the address in big-endian order.
func (e Endpoint) IP() uint32 { return uint32(e >> 16) }

func (e Endpoint) Port() uint16 { return uint16(e) }

// AddrPort returns the address and port for the net package.
func (e Endpoint) AddrPort() netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.IP())
	return netip.AddrPortFrom(netip.AddrFrom4(b), e.Port())
}

// String returns "a.b.c.d:port".
func (e Endpoint) String() string {
	ip := e.IP()
	return fmt.Sprintf("%d.%d.%d.%d:%d", byte(ip>>24), byte(ip>>16), byte(ip>>8), byte(ip), e.Port())
}

// String returns "tcp", "udp" or the number.
func (p Proto) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("proto-%d", uint8(p))
}

// ParseProto parses "tcp" or "udp".
func ParseProto(s string) (p Proto, err error) {
	switch s {
	case "tcp":
		return TCP, nil
	case "udp":
		return UDP, nil
	}
	return 0, errors.Errorf("protocol %q: expected tcp or udp", s)
}
