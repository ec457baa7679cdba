package sparhost

import (
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

type (
	// ServerConfig is the configuration of an upstream.
	ServerConfig struct {
		At      sparflow.Endpoint
		Service string
		Limit   int           // largest number of connections, 0 for 2000
		Cold    time.Duration // SYNs are ignored for this long after the start
		Shed    bool          // refuse every new connection with RST
	}

	// Server is a fake upstream. Use NewServer.
	Server struct {
		cfg   ServerConfig
		link  *link
		start time.Time

		mu    sync.Mutex
		conns map[sparflow.Endpoint]*serverConn
		runs  map[string]int
		stats ServerStats
	}

	// ServerStats counts what an upstream received.
	ServerStats struct {
		Openings  int // SYNs of new connections
		Unknown   int // packets of unknown connections
		Misrouted int // requests meant for another service
		Conns     int // currently open connections
	}

	serverConn struct {
		next     uint32 // sequence number expected from the client
		seq      uint32 // next own sequence number
		reply    []byte
		replySeq uint32 // sequence number of the last reply
	}
)

const (
	defaultLimit = 2000
	firstSeq     = 1000
)

// NewServer starts an upstream behind the fabric.
func NewServer(fabric netip.AddrPort, cfg ServerConfig) (s *Server, err error) {
	l, err := newLink(fabric)
	if err != nil {
		return nil, err
	}
	if cfg.Limit == 0 {
		cfg.Limit = defaultLimit
	}
	s = &Server{
		cfg: cfg, link: l, start: time.Now(),
		conns: map[sparflow.Endpoint]*serverConn{}, runs: map[string]int{},
	}
	l.announce(cfg.At)
	go l.run(s.receive)
	return s, nil
}

// Announce announces the upstream to the fabric again.
func (s *Server) Announce() { s.link.announce(s.cfg.At) }

// Close stops the upstream and drops its connections without FIN or RST.
func (s *Server) Close() { _ = s.link.conn.Close() }

// Shed sets whether the upstream refuses new connections.
func (s *Server) Shed(shed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Shed = shed
}

// Stats returns the current counts.
func (s *Server) Stats() ServerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Conns = len(s.conns)
	return stats
}

// Runs returns how many times the request with an ID has run.
func (s *Server) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func (s *Server) receive(v sparpacket.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.Proto == sparflow.UDP {
		s.reply(v, 0, 0, 0, []byte(s.cfg.Service+" "+s.cfg.At.String()+" "+string(v.Data())))
		return
	}
	c := s.conns[v.Source]
	switch {
	case v.RST():
		delete(s.conns, v.Source)
	case v.SYN():
		s.open(v, c)
	case c == nil:
		s.stats.Unknown++
		if reset := sparpacket.Reset(v); reset != nil {
			s.sendRaw(reset)
		}
	case v.FIN():
		s.reply(v, sparpacket.FIN|sparpacket.ACK, c.seq, v.Seq+1, nil)
		delete(s.conns, v.Source)
	case len(v.Data()) > 0:
		s.respond(v, c)
	}
}

func (s *Server) open(v sparpacket.View, c *serverConn) {
	if time.Since(s.start) < s.cfg.Cold {
		return
	}
	if c == nil && (s.cfg.Shed || len(s.conns) >= s.cfg.Limit) {
		s.sendRaw(sparpacket.Reset(v))
		return
	}
	if c == nil || c.next != v.Seq+1 {
		s.stats.Openings++
		c = &serverConn{next: v.Seq + 1, seq: firstSeq + 1}
		s.conns[v.Source] = c
	}
	s.reply(v, sparpacket.SYN|sparpacket.ACK, firstSeq, v.Seq+1, nil)
}

// respond runs a request once and sends its response again for each retransmission.
func (s *Server) respond(v sparpacket.View, c *serverConn) {
	if v.Seq == c.next {
		request := string(v.Data())
		service, id, _ := strings.Cut(request, " ")
		if service != s.cfg.Service {
			s.stats.Misrouted++
		}
		s.runs[id]++
		c.reply = fmt.Appendf(nil, "%s %s %s", s.cfg.Service, s.cfg.At, id)
		c.next += uint32(len(v.Data()))
		c.replySeq = c.seq
		c.seq += uint32(len(c.reply))
	}
	if c.reply != nil {
		s.reply(v, sparpacket.ACK, c.replySeq, c.next, c.reply)
	}
}

func (s *Server) reply(v sparpacket.View, flags uint8, seq, ack uint32, data []byte) {
	s.link.send(sparpacket.Segment{
		From: v.Target, To: v.Source, Proto: v.Proto, Flags: flags, Seq: seq, Ack: ack, Data: data,
	})
}

func (s *Server) sendRaw(packet []byte) {
	datagram := sparpacket.Wrap(nil, packet, 0)
	_, _ = s.link.conn.WriteToUDPAddrPort(datagram, s.link.fabric)
}
