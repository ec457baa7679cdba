package sparhost

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

const (
	// ErrRefused reports that the SYN was answered with RST.
	ErrRefused = errors.ConstError("connection refused")
	// ErrReset reports that the connection received RST.
	ErrReset = errors.ConstError("connection reset")

	resendEvery = 250 * time.Millisecond
	startSeq    = 1
)

type (
	// Client is a client host that opens connections. Use NewClient.
	Client struct {
		link *link

		mu    sync.Mutex
		conns map[sparflow.Endpoint]*Conn
	}

	// Conn is one connection of a Client.
	Conn struct {
		client  *Client
		from    sparflow.Endpoint
		service sparflow.Endpoint
		name    string
		packets chan sparpacket.View
		seq     uint32
		ack     uint32
	}

	// Response is the response of an upstream to a request.
	Response struct {
		Service  string
		Upstream string
		ID       string
	}
)

// NewClient starts a client behind the fabric.
func NewClient(fabric netip.AddrPort) (c *Client, err error) {
	l, err := newLink(fabric)
	if err != nil {
		return nil, err
	}
	c = &Client{link: l, conns: map[sparflow.Endpoint]*Conn{}}
	go l.run(c.receive)
	return c, nil
}

// Close drops every connection without FIN or RST.
func (c *Client) Close() { _ = c.link.conn.Close() }

// Open connects from an endpoint to the address of a service. name is the name of the
// service, which each request carries.
func (c *Client) Open(ctx context.Context, from, service sparflow.Endpoint, name string) (conn *Conn, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "open %s from %s", name, from)
		}
	}()
	conn = &Conn{
		client: c, from: from, service: service, name: name, seq: startSeq,
		packets: make(chan sparpacket.View, 16),
	}
	c.mu.Lock()
	c.conns[from] = conn
	c.mu.Unlock()
	v, err := conn.exchange(ctx, sparpacket.SYN, nil, func(v sparpacket.View) bool { return v.SYNACK() })
	if errors.Is(err, ErrReset) {
		return nil, errors.WithType(err, ErrRefused)
	}
	if err != nil {
		return nil, err
	}
	conn.seq++
	conn.ack = v.Seq + 1
	return conn, nil
}

// Do sends a request and returns the whole response.
func (c *Conn) Do(ctx context.Context, id string) (r Response, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "request %s from %s", id, c.from)
		}
	}()
	request := []byte(c.name + " " + id)
	v, err := c.exchange(ctx, sparpacket.ACK, request, func(v sparpacket.View) bool {
		return v.Seq == c.ack && len(v.Data()) > 0
	})
	if err != nil {
		return Response{}, err
	}
	c.seq += uint32(len(request))
	c.ack += uint32(len(v.Data()))
	parts := strings.SplitN(string(v.Data()), " ", 3)
	if len(parts) != 3 {
		return Response{}, errors.Errorf("truncated response: %q", v.Data())
	}
	return Response{Service: parts[0], Upstream: parts[1], ID: parts[2]}, nil
}

// Close closes the connection with FIN.
func (c *Conn) Close(ctx context.Context) error {
	_, err := c.exchange(ctx, sparpacket.FIN|sparpacket.ACK, nil, func(v sparpacket.View) bool { return v.FIN() })
	c.client.mu.Lock()
	delete(c.client.conns, c.from)
	c.client.mu.Unlock()
	return err
}

// exchange retransmits a segment until a packet arrives for which accept returns true.
func (c *Conn) exchange(ctx context.Context, flags uint8, data []byte, accept func(v sparpacket.View) bool) (
	v sparpacket.View, err error,
) {
	timer := time.NewTicker(resendEvery)
	defer timer.Stop()
	c.send(flags, data)
	for {
		select {
		case v = <-c.packets:
			if v.RST() {
				return v, ErrReset
			}
			if accept(v) {
				return v, nil
			}
		case <-timer.C:
			c.send(flags, data)
		case <-ctx.Done():
			return v, errors.Trace(ctx.Err())
		}
	}
}

func (c *Conn) send(flags uint8, data []byte) {
	c.client.link.send(sparpacket.Segment{
		From: c.from, To: c.service, Proto: sparflow.TCP, Flags: flags, Seq: c.seq, Ack: c.ack, Data: data,
	})
}

func (c *Client) receive(v sparpacket.View) {
	c.mu.Lock()
	conn := c.conns[v.Target]
	c.mu.Unlock()
	if conn == nil || conn.service != v.Source {
		return
	}
	v.Inner = append([]byte{}, v.Inner...)
	select {
	case conn.packets <- v:
	default: // exchange retransmits
	}
}
