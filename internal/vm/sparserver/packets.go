package sparserver

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparroute"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

const (
	// holdTime is how long a packet is held: longer than a handover of its slot and than the first
	// retransmission by its sender.
	holdTime = 2 * time.Second
	// holdLimit is the number of packets that are held at most.
	holdLimit = 8192
	// headroom is the number of bytes left free for the Geneve option of a redirect.
	headroom = 16
)

// heldPackets holds packets until the engine releases their flow: SYNs until the owner of
// their slot or its standbys are ready, and copies that may have to be sent again.
type heldPackets struct {
	packets map[sparflow.Key]*packet
	since   map[sparflow.Key]time.Duration
}

func newHeldPackets() *heldPackets {
	return &heldPackets{packets: map[sparflow.Key]*packet{}, since: map[sparflow.Key]time.Duration{}}
}

// put holds p. It returns false if holdLimit is reached.
func (h *heldPackets) put(key sparflow.Key, p *packet, now time.Duration) bool {
	if len(h.packets) >= holdLimit {
		return false
	}
	h.packets[key] = p
	h.since[key] = now
	return true
}

// take removes and returns the packet held for key, or nil.
func (h *heldPackets) take(key sparflow.Key) *packet {
	p := h.packets[key]
	delete(h.packets, key)
	delete(h.since, key)
	return p
}

// expire drops packets held so long that their sender has retransmitted them by now.
func (h *heldPackets) expire(now time.Duration) {
	for key, since := range h.since {
		if now-since > holdTime {
			h.take(key)
		}
	}
}

// readData reads the data socket.
func (s *Server) readData() error {
	for {
		p := s.buffers.Get().(*packet)
		size, from, err := s.data.ReadFromUDPAddrPort(p.buffer[:len(p.buffer)-headroom])
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			continue
		}
		p.size, p.from = size, from
		if !s.packets.Put(p) {
			s.buffers.Put(p)
		}
	}
}

// writeData writes to the data socket.
func (s *Server) writeData(ctx context.Context) error {
	for {
		select {
		case p := <-s.sends.Out():
			_, _ = s.data.WriteToUDPAddrPort(p.buffer[:p.size], p.to) // the ends of a flow retransmit lost packets
			s.buffers.Put(p)
		case <-ctx.Done():
			return nil
		}
	}
}

// readControl reads datagrams of other VMs from the control socket.
func (s *Server) readControl() error {
	buffer := make([]byte, 1<<16)
	for {
		size, _, err := s.control.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			continue
		}
		datagram, err := sparcontrol.Decode(buffer[:size])
		if err != nil {
			s.metrics.badControl.Add(1)
			continue
		}
		s.inputs.Put(controlInput{datagram: datagram})
	}
}

// forward routes one packet, and sends, holds or drops it. The caller must not use p
// afterwards.
func (s *Server) forward(p *packet) {
	now, wall := s.clock()
	s.node.Advance(now, wall)
	v, err := s.metrics.parser.Parse(p.buffer[:p.size])
	if err != nil {
		s.metrics.countBadPacket(err)
		s.buffers.Put(p)
		return
	}
	segment := sparroute.Segment{From: v.Source, To: v.Target, Proto: v.Proto, Kind: kindOf(v), Hops: v.Hops}
	verdict := s.route(segment)
	switch verdict.Action {
	case sparroute.ToUpstream:
		if segment.Kind == sparroute.SYN {
			v.StripData()
		}
		if verdict.Keep {
			s.keep(verdict.Key, p, now)
		}
		v.RewriteTarget(verdict.At)
		s.send(p, v.Inner, 0, s.fabric)
	case sparroute.ToClient:
		v.RewriteSource(verdict.At)
		s.send(p, v.Inner, 0, s.fabric)
	case sparroute.ToPeer:
		s.redirect(p, v, verdict.Peer)
	case sparroute.Hold:
		if !s.held.put(verdict.Key, p, now) {
			s.buffers.Put(p)
		}
	case sparroute.Refuse, sparroute.Abort:
		s.send(p, sparpacket.Reset(v), 0, s.fabric)
	case sparroute.AbortClient:
		s.send(p, abortClient(v, verdict.At), 0, s.fabric)
	default:
		s.buffers.Put(p)
	}
	s.perform(s.node.Effects())
}

// route returns the verdict on a packet. A packet from an upstream of a service is on its
// way to a client, unless it is sent to a service address. All others are from clients.
func (s *Server) route(segment sparroute.Segment) sparroute.Verdict {
	if s.node.Snapshot().ServiceAt(segment.Proto, segment.To) == nil &&
		s.node.Snapshot().ServiceOfUpstream(segment.Proto, segment.From) != nil {
		return s.node.Engine.Return(segment)
	}
	return s.node.Engine.Forward(segment)
}

// keep holds a copy of a packet that may have to be sent to another upstream.
func (s *Server) keep(key sparflow.Key, p *packet, now time.Duration) {
	c := s.buffers.Get().(*packet)
	*c = *p
	if !s.held.put(key, c, now) {
		s.buffers.Put(c)
	}
}

func (s *Server) redirect(p *packet, v sparpacket.View, peer string) {
	to, ok := s.peers[peer]
	if !ok {
		s.buffers.Put(p)
		return
	}
	s.send(p, v.Inner, v.Hops+1, to)
}

// send sends inner to a VM or the fabric and frees p. It copies inner to a new buffer,
// because inner may alias p.
func (s *Server) send(p *packet, inner []byte, hops uint8, to netip.AddrPort) {
	defer s.buffers.Put(p)
	if inner == nil {
		return
	}
	out := s.buffers.Get().(*packet)
	b := sparpacket.Wrap(out.buffer[:0], inner, hops)
	if len(b) > len(out.buffer) {
		s.buffers.Put(out)
		return
	}
	out.size, out.to = len(b), to
	if !s.sends.Put(out) {
		s.buffers.Put(out)
	}
}

func kindOf(v sparpacket.View) sparroute.Kind {
	switch {
	case v.Proto == sparflow.UDP:
		return sparroute.Data
	case v.RST():
		return sparroute.RST
	case v.SYN():
		return sparroute.SYN
	case v.SYNACK():
		return sparroute.SYNACK
	case v.FIN():
		return sparroute.FIN
	}
	return sparroute.Data
}

// abortClient returns a RST to the client of a flow whose removed upstream sent v, or nil
// if v is itself a RST or not TCP.
func abortClient(v sparpacket.View, service sparflow.Endpoint) []byte {
	if v.Proto != sparflow.TCP || v.RST() {
		return nil
	}
	return sparpacket.Build(sparpacket.Segment{
		From: service, To: v.Target, Proto: sparflow.TCP,
		Flags: sparpacket.RST | sparpacket.ACK, Seq: v.Seq, Ack: v.Ack,
	})
}
