// Package sparpacket parses and rewrites the packets received from the fabric.
//
// A datagram on the data socket is an IPv4 packet with TCP or UDP, encapsulated in Geneve
// (RFC 8926). A Parser turns it into a View, whose Inner bytes can be rewritten in place
// and encapsulated again:
//
//	var parser sparpacket.Parser
//	view, err := parser.Parse(datagram)
//	if err != nil {
//		refused[err.Error()]++
//		return
//	}
//	view.RewriteTarget(upstream)
//	datagram = sparpacket.Wrap(datagram[:0], view.Inner, 0)
//
// Checksums are updated incrementally (RFC 1624), so a packet received with a wrong
// checksum is also sent with a wrong one, and its receiver refuses it.
package sparpacket

import (
	"encoding/binary"

	"github.com/google/gopacket"
	"github.com/google/gopacket/layers"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

const (
	// MaxBytes is the largest size of a datagram, with its Geneve header and options.
	MaxBytes = 2048

	geneveBytes  = 8
	optionBytes  = 8
	optionClass  = 0xFF51 // in the experimental range, RFC 8926 section 7
	optionType   = 1
	optionHeader = 4
	geneveIPv4   = 0x0800
	minimumIPv4  = 20
	minimumUDP   = 8
	offsetTCPSum = 16
	offsetUDPSum = 6
	offsetIPSum  = 10
	offsetIPFrom = 12
	offsetIPTo   = 16

	optionCritical = 0x80

	flagFIN = 0x01
	flagSYN = 0x02
	flagRST = 0x04
	flagACK = 0x10
)

const (
	// BadGeneve means that the Geneve header is truncated or of another version, has an
	// unknown critical option, or is not followed by IPv4.
	BadGeneve ParseError = "bad-geneve"
	// BadIP means that the inner packet is not a complete IPv4 packet.
	BadIP ParseError = "bad-ip"
	// Fragment means that the inner packet is a fragment, which has no ports to route by.
	Fragment ParseError = "fragment"
	// BadTransport means that the inner packet has no complete TCP or UDP header.
	BadTransport ParseError = "bad-transport"
)

type (
	// ParseError is the cause of a refused datagram. Its text is a metric label.
	ParseError string

	// Parser holds layers that are reused for each packet. It serves one goroutine.
	Parser struct {
		ip  layers.IPv4
		tcp layers.TCP
		udp layers.UDP
	}

	// View is one parsed packet. Inner aliases the datagram it was parsed from.
	View struct {
		Inner   []byte
		Source  sparflow.Endpoint
		Target  sparflow.Endpoint
		Proto   sparflow.Proto
		Hops    uint8
		Flags   uint8
		Seq     uint32
		Ack     uint32
		Payload int // offset of the transport payload in Inner

		transport int // offset of the transport header in Inner
	}
)

// Error implements error.
func (e ParseError) Error() string { return string(e) }

// Parse parses a datagram. The error is a ParseError.
func (p *Parser) Parse(datagram []byte) (v View, err error) {
	if len(datagram) < geneveBytes || datagram[0]>>6 != 0 {
		return View{}, BadGeneve
	}
	if binary.BigEndian.Uint16(datagram[2:]) != geneveIPv4 {
		return View{}, BadGeneve
	}
	end := geneveBytes + int(datagram[0]&0x3f)*4
	if len(datagram) < end {
		return View{}, BadGeneve
	}
	hops, err := readHops(datagram[geneveBytes:end])
	if err != nil {
		return View{}, err
	}
	v, err = p.ParseInner(datagram[end:])
	v.Hops = hops
	return v, err
}

// readHops returns the number of redirects from the options. It returns an error for an
// unknown critical option, which must not be ignored (RFC 8926 section 3.5).
func readHops(options []byte) (hops uint8, err error) {
	for len(options) > 0 {
		if len(options) < optionHeader {
			return 0, BadGeneve
		}
		size := optionHeader + int(options[3]&0x1f)*4
		if len(options) < size {
			return 0, BadGeneve
		}
		class, kind := binary.BigEndian.Uint16(options), options[2]
		switch {
		case class == optionClass && kind == optionType && size > optionHeader:
			hops = options[optionHeader]
		case kind&optionCritical != 0:
			return 0, BadGeneve
		}
		options = options[size:]
	}
	return hops, nil
}

// ParseInner parses an IPv4 packet without Geneve. The error is a ParseError.
func (p *Parser) ParseInner(inner []byte) (v View, err error) {
	if len(inner) < minimumIPv4 || inner[0]>>4 != 4 {
		return View{}, BadIP
	}
	if err := p.ip.DecodeFromBytes(inner, gopacket.NilDecodeFeedback); err != nil {
		return View{}, BadIP
	}
	if p.ip.FragOffset != 0 || p.ip.Flags&layers.IPv4MoreFragments != 0 {
		return View{}, Fragment
	}
	header := int(p.ip.IHL) * 4
	if int(p.ip.Length) > len(inner) || int(p.ip.Length) < header {
		return View{}, BadIP
	}
	v = View{Inner: inner[:p.ip.Length], transport: header}
	from := binary.BigEndian.Uint32(inner[offsetIPFrom:])
	to := binary.BigEndian.Uint32(inner[offsetIPTo:])
	var fromPort, toPort uint16
	switch p.ip.Protocol {
	case layers.IPProtocolTCP:
		if err := p.tcp.DecodeFromBytes(v.Inner[header:], gopacket.NilDecodeFeedback); err != nil {
			return View{}, BadTransport
		}
		v.Proto = sparflow.TCP
		v.Flags = v.Inner[header+13]
		v.Seq, v.Ack = p.tcp.Seq, p.tcp.Ack
		v.Payload = header + int(p.tcp.DataOffset)*4
		fromPort, toPort = uint16(p.tcp.SrcPort), uint16(p.tcp.DstPort)
	case layers.IPProtocolUDP:
		if len(v.Inner) < header+minimumUDP {
			return View{}, BadTransport
		}
		if err := p.udp.DecodeFromBytes(v.Inner[header:], gopacket.NilDecodeFeedback); err != nil {
			return View{}, BadTransport
		}
		v.Proto = sparflow.UDP
		v.Payload = header + minimumUDP
		fromPort, toPort = uint16(p.udp.SrcPort), uint16(p.udp.DstPort)
	default:
		return View{}, BadTransport
	}
	v.Source = sparflow.MakeEndpoint(from, fromPort)
	v.Target = sparflow.MakeEndpoint(to, toPort)
	return v, nil
}

// SYN reports whether the packet is a TCP SYN without ACK, which opens a flow.
func (v View) SYN() bool { return v.Flags&(flagSYN|flagACK) == flagSYN }

// SYNACK reports whether the packet is a TCP SYN with ACK, which accepts a flow.
func (v View) SYNACK() bool { return v.Flags&(flagSYN|flagACK) == flagSYN|flagACK }

// FIN reports whether the packet is a TCP FIN, which closes one half of a flow.
func (v View) FIN() bool { return v.Flags&flagFIN != 0 }

// RST reports whether the packet is a TCP RST, which aborts a flow.
func (v View) RST() bool { return v.Flags&flagRST != 0 }

// Data returns the transport payload.
func (v View) Data() []byte { return v.Inner[v.Payload:] }

// Wrap appends inner to dst, encapsulated in Geneve. A hops value above 0 is encoded in an
// option and marks a redirect between VMs.
func Wrap(dst, inner []byte, hops uint8) []byte {
	words := byte(0)
	if hops > 0 {
		words = optionBytes / 4
	}
	dst = append(dst, words, 0, geneveIPv4>>8, geneveIPv4&0xff, 0, 0, 0, 0)
	if hops > 0 {
		dst = append(dst, optionClass>>8, optionClass&0xff, optionType, 1, hops, 0, 0, 0)
	}
	return append(dst, inner...)
}
