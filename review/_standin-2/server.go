package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	halfOpenTime  = 1400 * time.Millisecond // a client gives up its SYN then
	firstResend   = 200 * time.Millisecond
	lastResend    = 1600 * time.Millisecond
	serverResends = 8
)

type (
	// server is a server as the pages describe it: it holds most flows at once and sends nothing
	// when it is full or is not the intended one.
	server struct {
		rig     *rig
		id      uint64
		service string
		zone    string
		at      netip.AddrPort
		born    time.Time
		most    int
		work    time.Duration
		slowSYN time.Duration // from a SYN to its SYN+ACK
		conn    *net.UDPConn
		tcp     net.Listener

		mu      sync.Mutex
		flows   map[flowKey]*held
		ended   map[flowKey]bool
		slots   []time.Time
		nextSeq uint32

		opened func(s *server, k flowKey, copied uint32, through *machine) // may be nil
		ran    func(s *server, k flowKey, request string, h *held)
		resets func(s *server, k flowKey, through *machine)
	}

	flowKey struct{ client, route sparflow.Endpoint }

	held struct {
		seq, ack, echo uint32
		sent           uint32 // next sequence number of the server
		open           bool
		copied         uint32 // which copy of the SYN was taken
		through        *machine
		since          time.Time
		last           []byte // response not acknowledged yet
		lastSeq        uint32
		resends        int
	}
)

func (r *rig) startServer(id uint64, service, zone string, n, most int, work time.Duration) (s *server, err error) {
	s = &server{
		rig: r, id: id, service: service, zone: zone, born: time.Now(), most: most, work: work, flows: map[flowKey]*held{}, ended: map[flowKey]bool{},
		slots: make([]time.Time, 2), nextSeq: uint32(id) * 7919,
	}
	if s.tcp, err = net.Listen("tcp4", loopback(76, n, 0).String()); err != nil {
		return nil, err
	}
	s.at = s.tcp.Addr().(*net.TCPAddr).AddrPort()
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.at)); err != nil {
		return nil, err
	}
	_ = s.conn.SetReadBuffer(4 << 20)
	go func() {
		_ = http.Serve(s.tcp, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Instance-Id", fmt.Sprintf("i-%x", s.id))
		}))
	}()
	r.servers = append(r.servers, s)
	r.register(s)
	r.record.printf("server i-%x of %s at %s", id, service, s.at)
	go s.run()
	return s, nil
}

func (s *server) run() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < platform.TagBytes {
			continue
		}
		id := binary.BigEndian.Uint64(buffer)
		h, data, err := sparfake.Decode(buffer[platform.TagBytes:n])
		if err != nil || id != 0 && id != s.id {
			continue
		}
		s.receive(h, string(data), s.rig.machineAt(from))
	}
}

func (s *server) receive(h sparfake.Header, data string, through *machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := flowKey{h.From, h.To}
	f := s.flows[k]
	switch {
	case h.Flags&sparfake.Syn != 0:
		s.takeSYN(k, f, h, through)
	case h.Flags&sparfake.Reset != 0:
		delete(s.flows, k)
	case f == nil && s.ended[k] && h.Flags&sparfake.Fin != 0:
		s.send(k, sparfake.Header{Flags: sparfake.Ack, Seq: h.Ack, Ack: h.Seq + 1, Cookie: h.Cookie}, nil)
	case f == nil && s.ended[k] && data == "":
	case f == nil || !f.open && h.Ack != f.seq+1:
		if s.resets != nil {
			s.resets(s, k, through)
		}
		s.send(k, sparfake.Header{Flags: sparfake.Reset, Seq: h.Ack, Cookie: h.Cookie}, nil)
	default:
		s.serve(k, f, h, data)
	}
}

func (s *server) takeSYN(k flowKey, f *held, h sparfake.Header, through *machine) {
	if f == nil {
		if len(s.flows) >= s.most {
			return // full: nothing is sent
		}
		s.nextSeq += 1_000_003
		f = &held{seq: s.nextSeq, ack: h.Seq + 1, sent: s.nextSeq + 1, copied: h.Ack, through: through, since: time.Now()}
		s.flows[k] = f
		delete(s.ended, k)
		time.AfterFunc(halfOpenTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.flows[k] == f && !f.open {
				delete(s.flows, k)
			}
		})
	}
	if f.open {
		return
	}
	f.echo = h.Cookie
	answer := func() {
		s.send(k, sparfake.Header{Flags: sparfake.Syn | sparfake.Ack, Seq: f.seq, Ack: f.ack, Cookie: f.echo}, nil)
	}
	if s.slowSYN == 0 {
		answer()
		return
	}
	time.AfterFunc(s.slowSYN, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[k] == f && !f.open {
			answer()
		}
	})
}

// drain makes the server report that it leaves. It goes on serving.
func (s *server) drain() {
	key, value := sparfake.Entry(s.id, s.service, s.zone, s.at.String(), true, s.born)
	s.rig.store.Put(key, value)
}

func (s *server) serve(k flowKey, f *held, h sparfake.Header, data string) {
	f.echo = h.Cookie
	if !f.open {
		f.open = true
		if s.opened != nil {
			s.opened(s, k, f.copied, f.through)
		}
	}
	if f.last != nil && int32(h.Ack-f.lastSeq) >= int32(len(f.last)) {
		f.last = nil
	}
	switch {
	case data != "" && h.Seq == f.ack:
		f.ack += uint32(len(data))
		if s.ran != nil {
			s.ran(s, k, data, f)
		}
		time.AfterFunc(s.workDelay(), func() { s.respond(k, f, data) })
	case data != "":
		s.send(k, sparfake.Header{Flags: sparfake.Ack, Seq: f.sent, Ack: f.ack, Cookie: f.echo}, nil)
	}
	if h.Flags&sparfake.Fin != 0 {
		delete(s.flows, k)
		s.ended[k] = true
		s.send(k, sparfake.Header{Flags: sparfake.Fin | sparfake.Ack, Seq: f.sent, Ack: h.Seq + 1, Cookie: f.echo}, nil)
	}
}

// workDelay returns the time until a request that arrives now has run in one of two slots.
func (s *server) workDelay() time.Duration {
	slot := 0
	if s.slots[1].Before(s.slots[0]) {
		slot = 1
	}
	now := time.Now()
	if s.slots[slot].Before(now) {
		s.slots[slot] = now
	}
	s.slots[slot] = s.slots[slot].Add(s.work)
	return s.slots[slot].Sub(now)
}

func (s *server) respond(k flowKey, f *held, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[k] != f {
		return
	}
	f.last, f.lastSeq, f.resends = fmt.Appendf(nil, "%s|%s|%x", request, s.service, s.id), f.sent, 0
	f.sent += uint32(len(f.last))
	s.sendLast(k, f, f.lastSeq, firstResend)
}

// sendLast sends the last response, and again until it is acknowledged.
func (s *server) sendLast(k flowKey, f *held, seq uint32, wait time.Duration) {
	s.send(k, sparfake.Header{Flags: sparfake.Ack, Seq: seq, Ack: f.ack, Cookie: f.echo}, f.last)
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.flows[k] != f || f.last == nil || f.lastSeq != seq || f.resends >= serverResends {
			return
		}
		f.resends++
		s.sendLast(k, f, seq, min(2*wait, lastResend))
	})
}

// send sends a packet straight to the client.
func (s *server) send(k flowKey, h sparfake.Header, data []byte) {
	h.From, h.To, h.FromHost = k.route, k.client, true
	to := netip.AddrPortFrom(k.client.AddrPort().Addr(), s.rig.port)
	_, _ = s.conn.WriteToUDPAddrPort(sparfake.Encode(h, data), to) // the client sends again what is lost
}
