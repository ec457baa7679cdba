package sparpacket

import (
	"encoding/binary"
	"net"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

const (
	// SYN opens a TCP flow.
	SYN = flagSYN
	// ACK acknowledges data or a SYN.
	ACK = flagACK
	// FIN closes one half of a TCP flow.
	FIN = flagFIN
	// RST aborts a TCP flow.
	RST = flagRST

	timeToLive = 64
	window     = 65535
)

// Segment describes a packet to build.
type Segment struct {
	From, To sparflow.Endpoint
	Proto    sparflow.Proto
	Flags    uint8 // TCP only
	Seq, Ack uint32
	Data     []byte
}

// Build returns s as an IPv4 packet with its checksums.
func Build(s Segment) []byte {
	ip := layers.IPv4{
		Version: 4, IHL: 5, TTL: timeToLive, Protocol: layers.IPProtocol(s.Proto),
		SrcIP: netIP(s.From), DstIP: netIP(s.To),
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	payload := gopacket.Payload(s.Data)
	var transport gopacket.SerializableLayer
	switch s.Proto {
	case sparflow.UDP:
		udp := &layers.UDP{SrcPort: layers.UDPPort(s.From.Port()), DstPort: layers.UDPPort(s.To.Port())}
		must(udp.SetNetworkLayerForChecksum(&ip))
		transport = udp
	default:
		tcp := &layers.TCP{
			SrcPort: layers.TCPPort(s.From.Port()), DstPort: layers.TCPPort(s.To.Port()),
			Seq: s.Seq, Ack: s.Ack, Window: window,
			FIN: s.Flags&FIN != 0, SYN: s.Flags&SYN != 0, RST: s.Flags&RST != 0, ACK: s.Flags&ACK != 0,
		}
		must(tcp.SetNetworkLayerForChecksum(&ip))
		transport = tcp
	}
	must(gopacket.SerializeLayers(buffer, options, &ip, transport, payload))
	return buffer.Bytes()
}

// Reset returns the RST that RFC 9293 section 3.10.7.1 requires as the response to v if
// there is no connection, or nil if v is itself a RST or not TCP.
func Reset(v View) []byte {
	if v.Proto != sparflow.TCP || v.RST() {
		return nil
	}
	s := Segment{From: v.Target, To: v.Source, Proto: sparflow.TCP, Flags: RST}
	if v.Flags&flagACK != 0 {
		s.Seq = v.Ack
		return Build(s)
	}
	length := uint32(len(v.Data()))
	if v.SYN() || v.FIN() {
		length++
	}
	s.Flags |= ACK
	s.Ack = v.Seq + length
	return Build(s)
}

func netIP(e sparflow.Endpoint) net.IP {
	ip := make(net.IP, 4)
	binary.BigEndian.PutUint32(ip, e.IP())
	return ip
}

// must panics on errors that only a programming error can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
