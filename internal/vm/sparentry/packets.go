package sparentry

import (
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/platform"
)

// maxEarly is the number of packets queued before the first settings. It is more than arrive
// during the few calls that fetch the settings, and takes little memory if these calls fail.
const maxEarly = 256

// packet is one datagram passed between goroutines. Room for the tag precedes its bytes.
type packet struct {
	buffer [platform.TagBytes + platform.MaxBytes + 1]byte
	size   int // without the tag
}

// bytes returns the packet as it arrived.
func (p *packet) bytes() []byte { return p.buffer[platform.TagBytes : platform.TagBytes+p.size] }

// readPackets reads packets from the data socket until it is closed.
func (vm *VM) readPackets() error {
	for {
		p := vm.buffers.Get().(*packet)
		size, _, err := vm.data.ReadFromUDPAddrPort(p.buffer[platform.TagBytes:])
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			vm.metrics.unread.Add(1) // the peer of an earlier datagram refused it; the socket still works
			vm.buffers.Put(p)
			continue
		}
		p.size = size
		if !vm.packets.Put(p) {
			vm.buffers.Put(p) // counted by the ring
		}
	}
}

// queueEarly keeps a packet that arrives before the first settings, since its sender would
// retransmit it only after 200 ms. If maxEarly packets wait, it drops the oldest.
func (vm *VM) queueEarly(p *packet) {
	if len(vm.early) >= maxEarly {
		vm.buffers.Put(vm.early[0])
		vm.early = vm.early[1:]
		vm.metrics.early.Add(1)
	}
	vm.early = append(vm.early, p)
}

// forwardEarly forwards the packets queued before the first settings.
func (vm *VM) forwardEarly() {
	early := vm.early
	vm.early = nil
	for _, p := range early {
		vm.forward(p)
	}
}

// forward decides on one packet and sends what the verdict requires.
func (vm *VM) forward(p *packet) {
	if !vm.synced {
		vm.queueEarly(p)
		return
	}
	defer vm.buffers.Put(p)
	if vm.leave.Begun() {
		vm.leave.PacketReceived(vm.clock.now())
	}
	s, err := platform.Parse(p.bytes())
	if err != nil {
		vm.metrics.countBadPacket(err)
		vm.logBadPacket(err, p.size)
		return
	}
	vm.engine.Advance(time.Since(vm.began))
	v := vm.engine.Forward(s)
	vm.holdSYN(p, v)
	switch v.Action {
	case sparcookie.ToUpstream:
		if v.Relay != 0 {
			platform.MarkRelayed(p.bytes(), v.Cookie)
			vm.send(p.bytes(), v.Relay)
			if v.Second != 0 {
				vm.send(p.bytes(), v.Second)
			}
		}
		platform.SetUpstream(p.buffer[:], v.ID, v.Cookie)
		vm.send(p.buffer[:platform.TagBytes+p.size], v.At)
	case sparcookie.Reset:
		vm.send(platform.Reset(p.buffer[:], s), sparflow.MakeEndpoint(s.From.IP(), vm.port))
	case sparcookie.Drop:
	}
	vm.logVerdict(s, v)
}

// send writes a datagram. It does not retry: the original sender retransmits lost packets.
func (vm *VM) send(b []byte, to sparflow.Endpoint) {
	if _, err := vm.data.WriteToUDPAddrPort(b, to.AddrPort()); err != nil {
		vm.metrics.unsent.Add(1)
	}
}
