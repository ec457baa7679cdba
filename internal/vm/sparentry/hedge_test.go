package sparentry_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// arrival is a datagram that an upstream has received.
type arrival struct {
	id    uint64
	bytes []byte
}

// withSecondUpstream adds an upstream to s, and returns what both receive.
func (s *site) withSecondUpstream() <-chan arrival {
	second, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = second.Close() })
	key, entry := sparfake.Entry(0x7f3b, "booking", "north", second.LocalAddr().String(), false, time.Now())
	s.fake.Put(key, entry)
	arrivals := make(chan arrival, 1000)
	for _, conn := range []*net.UDPConn{s.upstream, second} {
		go func() {
			for {
				b := make([]byte, 2000)
				n, err := conn.Read(b)
				if err != nil {
					return
				}
				arrivals <- arrival{binary.BigEndian.Uint64(b), b[platform.TagBytes:n]}
			}
		}()
	}
	return arrivals
}

const (
	flagSYN = 4
	flagACK = 2
)

// next returns the next arrival of the flow from port with a flag, and leaves out others: on a busy
// machine a hedge of an earlier opening may come between. ok is false if there is none within d.
func next(arrivals <-chan arrival, port uint16, flag byte, d time.Duration) (a arrival, ok bool) {
	for end := time.After(d); ; {
		select {
		case a = <-arrivals:
			if binary.BigEndian.Uint16(a.bytes[8:]) == port && a.bytes[30] == flag {
				return a, true
			}
		case <-end:
			return arrival{}, false
		}
	}
}

// acknowledge sends the client's next packet of the flow that an arrival opens, and takes it off.
func (v *vm) acknowledge(a arrival, arrivals <-chan arrival) {
	v.site.t.Helper()
	b := bytes.Clone(a.bytes)
	b[30] = flagACK
	binary.BigEndian.PutUint32(b[16:], 1)
	binary.BigEndian.PutUint32(b[20:], 500)
	v.send(b)
	if got, ok := next(arrivals, binary.BigEndian.Uint16(b[8:]), flagACK, timeout); !ok || got.id != a.id {
		v.site.t.Fatalf("the next packet of a flow at %x went to %x, %v", a.id, got.id, ok)
	}
}

// TestOpeningIsHedged leaves an opening without an answer. The same SYN must reach a second
// upstream, with the cookie of that one, before the client would send a copy, and the flow opens there.
func TestOpeningIsHedged(t *testing.T) {
	s := newSite(t)
	s.hedge = 0.1
	arrivals := s.withSecondUpstream()
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	port := uint16(41000)
	open := func() arrival {
		port++
		b := syn(serviceAddr)
		binary.BigEndian.PutUint16(b[8:], port)
		v.send(b)
		a, ok := next(arrivals, port, flagSYN, timeout)
		if !ok {
			t.Fatal("no SYN arrives")
		}
		return a
	}
	for range 60 {
		v.acknowledge(open(), arrivals)
	}
	for range 20 { // on a busy machine openings may take so long that one is not hedged in time
		first := open()
		second, ok := next(arrivals, port, flagSYN, 190*time.Millisecond)
		if !ok {
			v.acknowledge(first, arrivals)
			continue
		}
		if second.id == first.id || !bytes.Equal(withoutCookie(first.bytes), withoutCookie(second.bytes)) || bytes.Equal(first.bytes, second.bytes) {
			t.Errorf("SYN %x at %x, then %x at %x", first.bytes, first.id, second.bytes, second.id)
		}
		v.acknowledge(second, arrivals)
		eventually(t, "a log line for the hedge", func() bool {
			fields, ok := v.log.find("opening hedged")
			return ok && fields["cause"] == "hedged" && fields["first"] != fields["upstream"] && fields["waited_ms"].(float64) > 0
		})
		return
	}
	t.Error("no opening is hedged")
}

// withoutCookie returns a packet without the field that the system may write.
func withoutCookie(b []byte) []byte {
	b = bytes.Clone(b)
	clear(b[24:28])
	return b
}

// TestNothingIsHedgedByDefault leaves openings without an answer where the setting is not set.
func TestNothingIsHedgedByDefault(t *testing.T) {
	s := newSite(t)
	arrivals := s.withSecondUpstream()
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	v.send(syn(serviceAddr))
	if _, ok := next(arrivals, 40001, flagSYN, timeout); !ok {
		t.Fatal("no SYN arrives")
	}
	if a, ok := next(arrivals, 40001, flagSYN, 190*time.Millisecond); ok {
		t.Errorf("a second SYN at %x", a.id)
	}
}
