package sparkv_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
)

// TestDuplicateResponse runs a service that repeats the last response on a connection
// before it sends the next one. The service refuses every second write, and the client
// must not report such a write as done.
func TestDuplicateResponse(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	bodies := make(chan string, 6)
	for range 3 {
		bodies <- "true"
		bodies <- "false"
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go duplicateResponses(c, bodies)
		}
	}()
	client := sparkv.New(listener.Addr().String())
	t.Cleanup(client.Close)
	for n := range 6 {
		ok, err := client.Swap(t.Context(), "a", []byte("1"), 7)
		if want := n%2 == 0; err != nil || ok != want {
			t.Errorf("write %d: done %v, error %v, want %v", n+1, ok, err, want)
		}
	}
}

func duplicateResponses(c net.Conn, bodies <-chan string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	last := ""
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return // the client closed the connection
		}
		body := <-bodies
		next := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := fmt.Fprint(c, last, next); err != nil {
			return
		}
		last = next
	}
}
