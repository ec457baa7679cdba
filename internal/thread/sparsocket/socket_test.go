package sparsocket_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/thread/sparsocket"
)

// ExampleListen opens a socket at a port chosen by the kernel.
func ExampleListen() {
	conn, err := sparsocket.Listen("127.0.0.1:0", 1<<16)
	fmt.Println(strings.HasPrefix(conn.LocalAddr().String(), "127.0.0.1:"), err, conn.Close())
	// Output: true <nil> <nil>
}

func TestListenNamesTheAddress(t *testing.T) {
	for _, address := range []string{"nowhere", "127.0.0.1:99999", "192.0.2.1:80"} {
		t.Run(address, func(t *testing.T) {
			conn, err := sparsocket.Listen(address, 1<<16)
			if conn != nil || err == nil || !strings.Contains(err.Error(), address) {
				t.Errorf("socket %v, error %v, want one that names the address", conn, err)
			}
		})
	}
}
