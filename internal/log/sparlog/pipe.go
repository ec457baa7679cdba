package sparlog

import (
	"bytes"
	"fmt"
	"io"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

const (
	// pipeRing is the number of lines that wait for a slow reader.
	pipeRing = 4096
	// closeWait bounds how long a slow reader holds up the end of the process.
	closeWait = 500 * time.Millisecond
)

// Pipe passes lines to a writer without ever blocking their author: while the writer
// is slow they wait in a ring, and what the ring cannot take is counted and said.
// Use NewPipe.
type Pipe struct {
	lines   *sparring.Ring[[]byte]
	stop    chan struct{}
	flushed chan struct{}
	said    uint64
}

// NewPipe returns a pipe to w. Close ends it.
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

// Close writes what waits, for as long as closeWait, and ends the pipe.
func (p *Pipe) Close() {
	close(p.stop)
	select {
	case <-p.flushed:
	case <-time.After(closeWait):
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
	if lost := p.lines.Refused(); lost != p.said {
		line = fmt.Appendf(line, "{\"level\":\"warning\",\"msg\":\"lines lost to a slow reader\",\"lines\":%d}\n", lost-p.said)
		p.said = lost
	}
	_, _ = w.Write(line) // a log that cannot be written has nowhere to say so
}
