package sparsoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Modes of a proxy.
const (
	passThrough    mode = iota
	delays              // each chunk is delayed
	resets              // connections are reset
	dropsResponses      // requests arrive, responses are dropped
	dropsAll            // nothing arrives in either direction, connections stay open
)

const (
	delay     = 250 * time.Millisecond
	chunkSize = 16 << 10
)

type (
	mode int

	// proxy forwards TCP connections from one VM to the store, with the faults of its mode.
	proxy struct {
		listener net.Listener
		target   string

		mu    sync.Mutex
		mode  mode
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

// setMode changes the mode, also for open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != resets {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == resets {
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

// copy forwards bytes in one direction until either connection is closed.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer p.closeConns(to, from)
	chunk := make([]byte, chunkSize)
	for {
		n, err := from.Read(chunk)
		if err != nil {
			return
		}
		switch m := p.currentMode(); {
		case m == dropsAll, m == dropsResponses && responses:
			_, _ = io.Copy(io.Discard, from) // until the sender closes the connection
			return
		case m == delays:
			time.Sleep(delay)
		}
		if _, err := to.Write(chunk[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		_ = c.Close() // the other end may have closed it
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(resets)
}

// reset closes a connection with RST.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close() // the peer may have closed it
}
