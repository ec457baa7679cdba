package sparkv_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
)

// TestSecondCopyOfAnAnswer is a service that sends the last answer of a connection once
// more before the next one. Every second write is refused, and must be told so.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answers := make(chan string, 6)
	for range 3 {
		answers <- "true"
		answers <- "false"
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go copyAnswers(c, answers)
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

func copyAnswers(c net.Conn, answers <-chan string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	copied := ""
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return // the client has gone
		}
		body := <-answers
		next := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := fmt.Fprint(c, copied, next); err != nil {
			return
		}
		copied = next
	}
}
