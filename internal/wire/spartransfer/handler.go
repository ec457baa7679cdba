package spartransfer

import (
	"net/http"
	"time"
)

// pieceBytes is the size of the pieces in which a response is written.
const pieceBytes = 16 << 10

// writer writes a response in pieces, each with a deadline of its own.
type writer struct {
	http.ResponseWriter
	stall time.Duration
}

// Handler returns a handler that ends the responses of next only if they make no progress for
// stall. It replaces the write timeout of the server, which bounds whole responses.
func Handler(next http.Handler, stall time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		extended := writer{ResponseWriter: w, stall: stall}
		next.ServeHTTP(extended, r)
		extended.extend() // for what the server has buffered
	})
}

// Unwrap returns the writer below, for http.ResponseController.
func (w writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements io.Writer.
func (w writer) Write(b []byte) (n int, err error) {
	for len(b) > 0 {
		w.extend()
		wrote, err := w.ResponseWriter.Write(b[:min(len(b), pieceBytes)])
		n += wrote
		if err != nil {
			return n, err
		}
		b = b[wrote:]
	}
	return n, nil
}

// extend moves the write deadline of the connection. A server that has none keeps its timeout.
func (w writer) extend() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.stall))
}
