// Package sparfabric is a fake of the network fabric, for tests and the demo.
//
// It sprays every packet of a client or an upstream over the entry VMs at random, and
// forwards packets from the VMs to the host that they are addressed to:
//
//	f, err := sparfabric.New("127.0.0.1:0", seed)
//	f.Spray(addressesOfVMs)
//	go f.Run()
//
// A host announces itself with a packet to Hello. Packets to its endpoint then go to the
// socket that the announcement came from.
package sparfabric

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

// Hello is the address to which hosts announce themselves.
var Hello = sparflow.MakeEndpoint(0x7f000001, 9)

// Fabric is a fake fabric. Use New.
type Fabric struct {
	conn     *net.UDPConn
	mu       sync.Mutex
	rng      *rand.Rand
	vms      []netip.AddrPort
	knownVMs map[netip.AddrPort]bool // addresses of present and past VMs
	hosts    map[sparflow.Endpoint]netip.AddrPort
	sprayed  atomic.Uint64
	lost     atomic.Uint64
}

// New opens the socket of a fabric at address. Fabrics with equal seeds make equal choices.
func New(address string, seed uint64) (f *Fabric, err error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Annotate(err, "fabric")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Annotate(err, "fabric")
	}
	_ = conn.SetReadBuffer(8 << 20)
	return &Fabric{
		conn: conn, rng: rand.New(rand.NewPCG(seed, seed)),
		knownVMs: map[netip.AddrPort]bool{}, hosts: map[sparflow.Endpoint]netip.AddrPort{},
	}, nil
}

// Address returns the address of the socket.
func (f *Fabric) Address() netip.AddrPort {
	return f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Spray sets the VMs over which packets are sprayed.
func (f *Fabric) Spray(vms []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
	for _, vm := range vms {
		f.knownVMs[vm] = true
	}
}

// Sprayed returns the number of packets sent to VMs.
func (f *Fabric) Sprayed() uint64 { return f.sprayed.Load() }

// Lost returns the number of packets dropped because they were malformed or had no
// known destination.
func (f *Fabric) Lost() uint64 { return f.lost.Load() }

// Close closes the socket, which ends Run.
func (f *Fabric) Close() { _ = f.conn.Close() }

// Run forwards packets until Close.
func (f *Fabric) Run() {
	buffer := make([]byte, sparpacket.MaxBytes)
	var parser sparpacket.Parser
	for {
		size, from, err := f.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		v, err := parser.Parse(buffer[:size])
		if err != nil {
			f.lost.Add(1)
			continue
		}
		if to, ok := f.route(from, v); ok {
			_, _ = f.conn.WriteToUDPAddrPort(buffer[:size], to)
		}
	}
}

func (f *Fabric) route(from netip.AddrPort, v sparpacket.View) (to netip.AddrPort, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.knownVMs[from] {
		if to, ok = f.hosts[v.Target]; !ok {
			f.lost.Add(1)
		}
		return to, ok
	}
	f.hosts[v.Source] = from
	if v.Target == Hello {
		return to, false
	}
	if len(f.vms) == 0 {
		f.lost.Add(1)
		return to, false
	}
	f.sprayed.Add(1)
	return f.vms[f.rng.IntN(len(f.vms))], true
}
