package sparsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Ways of a proxy.
const (
	passes   way = iota
	delays       // each piece waits
	resets       // connections end at once
	swallows     // requests arrive, answers are lost
	silences     // nothing arrives on either side, connections stay open
)

const (
	delay     = 250 * time.Millisecond
	pieceSize = 16 << 10
)

type (
	way int

	// proxy stands between one VM and the store.
	proxy struct {
		listener net.Listener
		target   string

		mu    sync.Mutex
		way   way
		conns map[net.Conn]bool
	}
)

func newProxy(target string) (p *proxy, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p = &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the way. Open connections follow it too.
func (p *proxy) set(w way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.way = w
	if w != resets {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) current() way {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.way
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == resets {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	go p.copy(s, c, false)
	p.copy(c, s, true)
}

// copy moves bytes one way until either end is closed.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer p.forget(to, from)
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		switch w := p.current(); {
		case w == silences, w == swallows && answers:
			_, _ = io.Copy(io.Discard, from) // until the other side gives up
			return
		case w == delays:
			time.Sleep(delay)
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close() // nobody reads it any more
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(resets)
}

// reset ends a connection with RST.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close() // the peer may have closed it
}
