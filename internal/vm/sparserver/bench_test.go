package sparserver_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparsite"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

const (
	benchFlows  = 256
	benchWindow = 512 // packets in flight
)

// listen opens a UDP socket on the loopback interface.
func listen(b *testing.B) *net.UDPConn {
	b.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	_ = conn.SetReadBuffer(8 << 20)
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

func address(conn *net.UDPConn) netip.AddrPort {
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// measure sends packets to a forwarder, with at most benchWindow in flight, and reports
// the rate at which the sink receives them.
func measure(b *testing.B, to netip.AddrPort, source, sink *net.UDPConn, packets [][]byte) {
	b.Helper()
	credit := make(chan struct{}, benchWindow)
	for range benchWindow {
		credit <- struct{}{}
	}
	received := make(chan int)
	go func() {
		buffer := make([]byte, sparpacket.MaxBytes)
		n := 0
		for ; n < b.N; n++ {
			_ = sink.SetReadDeadline(time.Now().Add(time.Second))
			if _, _, err := sink.ReadFromUDPAddrPort(buffer); err != nil {
				break
			}
			credit <- struct{}{}
		}
		received <- n
	}()
	b.ResetTimer()
	for i := range b.N {
		select {
		case <-credit:
		case <-time.After(time.Second):
		}
		if _, err := source.WriteToUDPAddrPort(packets[i%len(packets)], to); err != nil {
			b.Fatal(err)
		}
	}
	n := <-received
	b.StopTimer()
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "packets/s")
	b.ReportMetric(float64(b.N-n), "lost")
}

func dataPackets(flags uint8) [][]byte {
	var packets [][]byte
	for i := range benchFlows {
		packets = append(packets, sparpacket.Wrap(nil, sparpacket.Build(sparpacket.Segment{
			From: sparflow.MakeEndpoint(0xCB007101, uint16(10000+i)), To: sparsite.Endpoint("198.51.100.1:443"),
			Proto: sparflow.TCP, Flags: flags, Seq: 2, Ack: 2, Data: make([]byte, 200),
		}), 0))
	}
	return packets
}

// BenchmarkVM forwards packets of open flows through one whole VM over loopback UDP.
func BenchmarkVM(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	site, err := sparsite.New(log, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(site.Close)
	sink, source := listen(b), listen(b)
	vm, err := site.StartVMWithFabric("vm-1", "north", address(sink).String())
	if err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	d := sparconfig.Document{Address: "198.51.100.1:443", Proto: "tcp"}
	for _, at := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
		d.Upstreams = append(d.Upstreams, sparconfig.Member{At: at})
	}
	site.Serve("team", "booking", d)
	time.Sleep(time.Second)
	to := netip.MustParseAddrPort(vm.File.Data)
	for _, p := range dataPackets(sparpacket.SYN) {
		if _, err := source.WriteToUDPAddrPort(p, to); err != nil {
			b.Fatal(err)
		}
	}
	drain(sink)
	measure(b, to, source, sink, dataPackets(sparpacket.ACK))
}

// drain reads from the socket until no packet arrives for 300 ms.
func drain(sink *net.UDPConn) {
	buffer := make([]byte, sparpacket.MaxBytes)
	for {
		_ = sink.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if _, _, err := sink.ReadFromUDPAddrPort(buffer); err != nil {
			return
		}
	}
}

// BenchmarkRelay forwards the same datagrams and does nothing else. It gives the upper
// limit of this machine's loopback interface for one read and one write call per packet.
func BenchmarkRelay(b *testing.B) {
	sink, source, relay := listen(b), listen(b), listen(b)
	go func() {
		buffer := make([]byte, sparpacket.MaxBytes)
		for {
			n, _, err := relay.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = relay.WriteToUDPAddrPort(buffer[:n], address(sink))
		}
	}()
	measure(b, address(relay), source, sink, dataPackets(sparpacket.ACK))
}
