package sparpacket

import (
	"encoding/binary"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
)

// StripData removes the payload of a SYN, so that a flow refused later has delivered
// nothing to an upstream.
func (v *View) StripData() {
	if v.Payload == len(v.Inner) {
		return
	}
	var parser Parser
	short, err := parser.ParseInner(v.Inner)
	if err != nil {
		return
	}
	v.Inner = Build(Segment{
		From: short.Source, To: short.Target, Proto: v.Proto, Flags: v.Flags, Seq: v.Seq, Ack: v.Ack,
	})
	v.Payload = len(v.Inner)
	v.transport = minimumIPv4
}

// RewriteTarget rewrites the destination of the packet in place.
func (v *View) RewriteTarget(to sparflow.Endpoint) {
	v.rewrite(offsetIPTo, 2, to)
	v.Target = to
}

// RewriteSource rewrites the source of the packet in place.
func (v *View) RewriteSource(from sparflow.Endpoint) {
	v.rewrite(offsetIPFrom, 0, from)
	v.Source = from
}

func (v *View) rewrite(ipAt, portAt int, e sparflow.Endpoint) {
	ip := v.Inner[ipAt : ipAt+4]
	port := v.Inner[v.transport+portAt : v.transport+portAt+2]
	var oldIP, newIP [4]byte
	copy(oldIP[:], ip)
	binary.BigEndian.PutUint32(newIP[:], e.IP())
	oldPort := binary.BigEndian.Uint16(port)
	copy(ip, newIP[:])
	binary.BigEndian.PutUint16(port, e.Port())

	updateSumIP(v.Inner[offsetIPSum:], oldIP, newIP)
	sumAt := v.transport + offsetTCPSum
	if v.Proto == sparflow.UDP {
		sumAt = v.transport + offsetUDPSum
	}
	sum := v.Inner[sumAt:]
	if v.Proto == sparflow.UDP && binary.BigEndian.Uint16(sum) == 0 {
		return // the sender computed no checksum
	}
	updateSumIP(sum, oldIP, newIP)
	updateSum(sum, oldPort, e.Port())
}

func updateSumIP(sum []byte, from, to [4]byte) {
	updateSum(sum, binary.BigEndian.Uint16(from[:2]), binary.BigEndian.Uint16(to[:2]))
	updateSum(sum, binary.BigEndian.Uint16(from[2:]), binary.BigEndian.Uint16(to[2:]))
}

// updateSum updates a checksum by equation 3 of RFC 1624: HC' = ~(~HC + ~m + m').
func updateSum(sum []byte, from, to uint16) {
	total := uint32(^binary.BigEndian.Uint16(sum)) + uint32(^from) + uint32(to)
	total = total&0xffff + total>>16
	total = total&0xffff + total>>16
	binary.BigEndian.PutUint16(sum, ^uint16(total))
}
