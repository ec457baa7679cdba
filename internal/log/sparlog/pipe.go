package sparlog

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

const (
	// pipeRing is the number of lines that may wait for a slow reader.
	pipeRing = 4096
	// closeTimeout bounds how long a slow reader delays the end of the process.
	closeTimeout = 500 * time.Millisecond
)

// Pipe passes lines to a writer without blocking the caller of Write. While the writer is
// slow, lines wait in a ring; if the ring is full, they are dropped and their number is
// logged. Use NewPipe.
type Pipe struct {
	lines    *sparring.Ring[[]byte]
	stop     chan struct{}
	flushed  chan struct{}
	reported uint64
}

// NewPipe returns a pipe to w. Call Close to stop it.
func NewPipe(w io.Writer) *Pipe {
	p := &Pipe{lines: sparring.New[[]byte](pipeRing), stop: make(chan struct{}), flushed: make(chan struct{})}
	go p.run(w)
	return p
}

// Write implements io.Writer. It never blocks and never fails.
func (p *Pipe) Write(line []byte) (n int, err error) {
	if len(line) > 0 {
		p.lines.Put(bytes.Clone(line))
	}
	return len(line), nil
}

// Close writes the waiting lines for at most closeTimeout and stops the pipe.
func (p *Pipe) Close() {
	close(p.stop)
	select {
	case <-p.flushed:
	case <-time.After(closeTimeout):
	}
}

func (p *Pipe) run(w io.Writer) {
	defer close(p.flushed)
	for {
		select {
		case line := <-p.lines.Out():
			p.write(w, line)
			continue
		default:
		}
		select {
		case line := <-p.lines.Out():
			p.write(w, line)
		case <-p.stop:
			return
		}
	}
}

func (p *Pipe) write(w io.Writer, line []byte) {
	if dropped := p.lines.Refused(); dropped != p.reported {
		line = fmt.Appendf(line, "{\"level\":\"warning\",\"msg\":\"lines lost to a slow reader\",\"lines\":%d}\n", dropped-p.reported)
		p.reported = dropped
	}
	_, _ = w.Write(line) // there is no other place to report a failed write
}
