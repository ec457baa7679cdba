package sparport_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/stand/sparport"
)

func ExampleFree() {
	at, err := sparport.Free()
	if err != nil {
		fmt.Println(err)
		return
	}
	l, err := net.Listen("tcp4", at)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = l.Close() }()
	fmt.Println(l.Addr().String() == at)
	// Output: true
}

func free(t *testing.T) string {
	t.Helper()
	at, err := sparport.Free()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// TestAddressesDiffer: VMs that start at the same time get ports of their own, also before they have
// opened them.
func TestAddressesDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 500 {
		at := free(t)
		if seen[at] {
			t.Fatalf("%s was returned twice", at)
		}
		seen[at] = true
	}
}

// TestTakenPorts: a port that is taken for UDP or for TCP is left out.
func TestTakenPorts(t *testing.T) {
	take := map[string]func(address string) (io.Closer, error){
		"udp": func(address string) (io.Closer, error) { return net.ListenPacket("udp4", address) },
		"tcp": func(address string) (io.Closer, error) { return net.Listen("tcp4", address) },
	}
	for protocol, listen := range take {
		t.Run(protocol, func(t *testing.T) {
			next := netip.MustParseAddrPort(free(t))
			next = netip.AddrPortFrom(next.Addr(), next.Port()+1)
			l, err := listen(next.String())
			if err != nil {
				return // another process has taken it
			}
			defer func() { _ = l.Close() }()
			if at := free(t); at == next.String() {
				t.Errorf("%s was returned", at)
			}
		})
	}
}
