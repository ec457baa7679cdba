package main

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	clientCount = 8
	openTimeout = 1400 * time.Millisecond
	// resetWindow is how far from the last acknowledgement the sequence number of a reset may be.
	resetWindow = 76_800
)

var (
	errNotOpened = errors.New("not opened")
	errReset     = errors.New("reset")
	errDeadline  = errors.New("deadline")
)

type (
	// client has one address and many flows.
	client struct {
		rig  *rig
		ip   uint32
		conn *net.UDPConn

		mu    sync.Mutex
		ports map[uint16]*clientFlow
		port  uint16
	}

	// clientFlow is one flow of a client. It places in its packets the last echo that it received
	// on the flow.
	clientFlow struct {
		client   *client
		key      flowKey
		sentSYN  []time.Time // of the SYN and its copies
		openedAt time.Time
		resetBy  netip.AddrPort
		resetSum bool // a server wrote the reset
		resetAt  time.Time
		sentVia  *machine // of the last packet
		mu       sync.Mutex
		seq, ack uint32
		echo     uint32
		open     bool
		packets  chan packet
	}

	packet struct {
		h    sparfake.Header
		data string
		from netip.AddrPort
	}
)

func (r *rig) startClient(n int) (c *client, err error) {
	at := loopback(73, n, r.port)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	c = &client{rig: r, ip: sparflow.FromAddrPort(at).IP(), conn: conn, ports: map[uint16]*clientFlow{}, port: 1024}
	go c.run()
	return c, nil
}

// startClients starts the clients of a case. Their users share their addresses.
func (r *rig) startClients() (list []*client, err error) {
	for n := range clientCount {
		c, err := r.startClient(n)
		if err != nil {
			return nil, err
		}
		list = append(list, c)
	}
	return list, nil
}

func (c *client) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		h, data, err := sparfake.Decode(buffer[:n])
		if err != nil {
			continue
		}
		c.mu.Lock()
		f := c.ports[h.To.Port()]
		c.mu.Unlock()
		if f != nil && f.key.route == h.From {
			f.receive(packet{h: h, data: string(data), from: from})
		}
	}
}

// receive takes in a packet: a later SYN+ACK of an open flow changes nothing but the echo.
func (f *clientFlow) receive(p packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.h.Flags&sparfake.Reset == 0 && f.open {
		f.echo = p.h.Cookie
	}
	if p.h.Flags&sparfake.Syn != 0 && f.open {
		return
	}
	if p.h.Flags&sparfake.Reset != 0 && f.open {
		if d := int32(p.h.Seq - f.ack); d > resetWindow || d < -resetWindow {
			return
		}
	}
	select {
	case f.packets <- p:
	default:
	}
}

// openNoted opens a flow: a SYN, and copies after 200 and 600 ms. It calls note before the first one.
func (c *client) openNoted(route sparflow.Endpoint, note func(*clientFlow)) (f *clientFlow, err error) {
	c.mu.Lock()
	c.port++
	port := c.port
	f = &clientFlow{client: c, key: flowKey{sparflow.MakeEndpoint(c.ip, port), route}, seq: uint32(port) << 10, packets: make(chan packet, 64)}
	c.ports[port] = f
	c.mu.Unlock()
	note(f)
	began := time.Now()
	for copied, next := uint32(0), firstResend; copied < 3; copied++ {
		f.mu.Lock()
		f.sentSYN = append(f.sentSYN, time.Now())
		f.mu.Unlock()
		f.send(sparfake.Header{Flags: sparfake.Syn, Seq: f.seq, Ack: copied}, "")
		until := began.Add(next)
		if copied == 2 {
			until = began.Add(openTimeout)
		}
		next = 600 * time.Millisecond
		p, ok := f.wait(until)
		if !ok {
			continue
		}
		if p.h.Flags&sparfake.Reset != 0 {
			f.resetBy, f.resetSum, f.resetAt = p.from, p.h.FromHost, time.Now()
			f.forget()
			return f, errReset
		}
		f.mu.Lock()
		f.seq, f.ack, f.echo, f.open, f.openedAt = f.seq+1, p.h.Seq+1, p.h.Cookie, true, time.Now()
		f.mu.Unlock()
		f.send(sparfake.Header{Flags: sparfake.Ack}, "")
		return f, nil
	}
	f.forget()
	return f, errNotOpened
}

// do sends a request and waits for its response until the deadline.
func (f *clientFlow) do(request string, deadline time.Duration) (response string, err error) {
	end := time.Now().Add(deadline)
	for wait, at := firstResend, time.Now(); time.Now().Before(end); wait = min(2*wait, lastResend) {
		f.send(sparfake.Header{Flags: sparfake.Ack}, request)
		at = at.Add(wait)
		for {
			until := at
			if end.Before(at) {
				until = end
			}
			p, ok := f.wait(until)
			if !ok {
				break
			}
			if p.h.Flags&sparfake.Reset != 0 {
				f.resetBy, f.resetSum, f.resetAt = p.from, p.h.FromHost, time.Now()
				f.forget()
				return "", errReset
			}
			f.mu.Lock()
			if p.data == "" || p.h.Seq != f.ack {
				again := p.data != ""
				f.mu.Unlock()
				if again {
					f.send(sparfake.Header{Flags: sparfake.Ack}, "")
				}
				continue
			}
			f.seq += uint32(len(request))
			f.ack += uint32(len(p.data))
			f.mu.Unlock()
			f.send(sparfake.Header{Flags: sparfake.Ack}, "")
			return p.data, nil
		}
	}
	f.forget()
	return "", errDeadline
}

// close ends the flow with FIN.
func (f *clientFlow) close() {
	f.send(sparfake.Header{Flags: sparfake.Fin | sparfake.Ack}, "")
	time.AfterFunc(time.Second, f.forget)
}

func (f *clientFlow) forget() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	delete(f.client.ports, f.key.client.Port())
}

func (f *clientFlow) wait(until time.Time) (p packet, ok bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p = <-f.packets:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

// send sends a packet through the fabric.
func (f *clientFlow) send(h sparfake.Header, data string) {
	f.mu.Lock()
	if h.Flags&sparfake.Syn == 0 {
		h.Seq, h.Ack, h.Cookie = f.seq, f.ack, f.echo
	}
	h.From, h.To, h.FromHost = f.key.client, f.key.route, true
	via := f.client.rig.route(uint64(h.From)*0x9E3779B97F4A7C15 ^ uint64(h.To))
	f.sentVia = via
	f.mu.Unlock()
	_, _ = f.client.conn.WriteToUDPAddrPort(sparfake.Encode(h, []byte(data)), via.data)
}

// askOnce sends one request on a flow of its own, and records what came of it.
func (c *client) askOnce(user int, route sparflow.Endpoint, id string, deadline time.Duration) {
	f, err := c.openNoted(route, func(*clientFlow) {})
	if err != nil {
		c.rig.record.printf("user %d: %s %v", user, f.key.client, err)
		return
	}
	answer, err := f.do(id, deadline)
	c.rig.record.printf("user %d: %s request %s for %s: answer %q %v", user, f.key.client, id, route, answer, err)
	if err == nil {
		f.close()
	}
}
