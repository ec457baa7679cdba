// Package sparserver runs one entry VM: the sockets, timers and calls around the
// decisions of sparnode.
//
// Each duty has a goroutine of its own, a thread, joined to the others by bounded
// rings. One thread decides and owns all state; the others only move bytes:
//
//	intake ──packets──▶ decide ──sends──▶ sender
//	listener ─inputs──▶   │  ◀──asks──── twirp handlers
//	watcher ──inputs──▶   └───pulls────▶ puller
//
//	err := sparserver.Run(ctx, file, log) // returns once the VM has handed over
//
// The threads stop together: the first that fails ends the others.
package sparserver

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparsocket"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

const (
	packetRing = 4096
	sendRing   = 8192
	inputRing  = 1024
	pullRing   = 64
	askRing    = 64

	// socketQueue is the kernel's queue of a socket in bytes: the packets of a ring and
	// as many again.
	socketQueue  = 8 << 20
	stopWait     = 30 * time.Second
	forwardAfter = 2 * time.Second // keeps forwarding what the fabric still sends
)

type (
	// Server is one running VM. Use New.
	Server struct {
		file    sparconfig.File
		log     *logrus.Entry
		store   *sparkv.Client
		node    *sparnode.Node
		began   time.Time
		data    *net.UDPConn
		control *net.UDPConn
		web     net.Listener

		packets *sparring.Ring[*packet]
		sends   *sparring.Ring[*packet]
		inputs  *sparring.Ring[input]
		pulls   *sparring.Ring[sparnode.Pull]
		sweeps  *sparring.Ring[sparnode.Sweep]
		asks    *sparring.Questions[*Server]
		buffers sync.Pool
		held    *heldPackets
		metrics *metrics
		fabric  netip.AddrPort
		peers   map[string]netip.AddrPort // data address by VM name
		watch   chan bool                 // whether this VM watches the platform
		reached bool                      // the platform answered lately
	}

	// packet is one datagram between threads.
	packet struct {
		buffer [sparpacket.MaxBytes]byte
		size   int
		from   netip.AddrPort
		to     netip.AddrPort
	}

	// input is what other threads tell the deciding one. It is a sealed interface.
	input interface {
		input()
	}

	heard struct {
		datagram sparcontrol.Input
	}

	read struct {
		reading sparkv.Reading
		err     error
	}

	learned struct {
		share sparregistry.Share
	}
)

func (heard) input()   {}
func (read) input()    {}
func (learned) input() {}

// New opens the sockets of the VM.
func New(file sparconfig.File, log *logrus.Logger) (s *Server, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "VM %s", file.Name)
		}
	}()
	began := time.Now()
	s = &Server{
		file: file, log: log.WithField("vm", file.Name), store: sparkv.New(file.Platform), began: began,
		node:    sparnode.New(file, uint64(began.UnixMilli()), 0, began),
		packets: sparring.New[*packet](packetRing), sends: sparring.New[*packet](sendRing),
		inputs: sparring.New[input](inputRing), pulls: sparring.New[sparnode.Pull](pullRing),
		sweeps: sparring.New[sparnode.Sweep](pullRing), asks: sparring.NewQuestions[*Server](askRing), held: newHeldPackets(), metrics: newMetrics(),
		fabric: netip.MustParseAddrPort(file.Fabric), peers: map[string]netip.AddrPort{},
		watch: make(chan bool, 1),
	}
	s.buffers.New = func() any { return new(packet) }
	if s.data, err = sparsocket.Listen(file.Data, socketQueue); err != nil {
		return nil, err
	}
	if s.control, err = sparsocket.Listen(file.Control, socketQueue); err != nil {
		return nil, err
	}
	if s.web, err = net.Listen("tcp4", file.Control); err != nil {
		return nil, err
	}
	return s, nil
}

// Run serves until ctx ends, then hands over and returns. A value on abort ends
// it at once.
func (s *Server) Run(ctx context.Context, abort <-chan os.Signal) (err error) {
	threads, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := pool.New().WithContext(threads).WithCancelOnError().WithFirstError()
	group.Go(func(context.Context) error { return s.intake() })
	group.Go(func(context.Context) error { return s.listen() })
	group.Go(s.sender)
	group.Go(s.watcher)
	group.Go(s.puller)
	group.Go(s.sweeper)
	group.Go(s.serveHTTP)
	group.Go(func(threads context.Context) error {
		defer cancel()
		return s.decide(threads, ctx, abort)
	})
	group.Go(func(threads context.Context) error {
		<-threads.Done()
		_ = s.data.Close()
		_ = s.control.Close()
		_ = s.web.Close()
		_ = s.metrics.closer.Close()
		s.store.Close()
		return nil
	})
	s.log.WithFields(logrus.Fields{"data": s.file.Data, "control": s.file.Control}).Info("serving")
	err = group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// clock returns monotonic time since the start and wall time.
func (s *Server) clock() (now time.Duration, wall time.Time) {
	wall = time.Now()
	return wall.Sub(s.began), wall
}

// decide is the thread that owns the node.
func (s *Server) decide(threads, stop context.Context, abort <-chan os.Signal) error {
	ticker := time.NewTicker(sparnode.TickEvery)
	defer ticker.Stop()
	stopping := stop.Done()
	var stopped, drained time.Time
	for {
		select {
		case p := <-s.packets.Out():
			s.decideOn(p)
		case in := <-s.inputs.Out():
			s.take(in)
		case answer := <-s.asks.Out():
			answer(s)
		case <-ticker.C:
			s.tick()
			switch {
			case stopped.IsZero():
			case drained.IsZero() && (s.node.Drained() || time.Since(stopped) > stopWait):
				drained = time.Now()
			case !drained.IsZero() && time.Since(drained) > forwardAfter:
				s.log.Info("handed over")
				return nil
			}
		case <-stopping:
			stopping = nil
			stopped = time.Now()
			s.log.Info("handing over")
			s.node.Stop()
		case <-abort:
			return errors.New("stopped at once, slots not handed over")
		case <-threads.Done():
			return nil
		}
	}
}

func (s *Server) take(in input) {
	now, wall := s.clock()
	s.node.Advance(now, wall)
	switch in := in.(type) {
	case heard:
		s.node.Receive(in.datagram)
	case read:
		s.reached = in.err == nil
		if in.err == nil {
			s.node.Reading(in.reading.Entries, in.reading.Revision)
		}
	case learned:
		s.node.Merge(in.share)
	}
	s.perform(s.node.Drain())
}

func (s *Server) tick() {
	now, wall := s.clock()
	s.perform(s.node.Tick(now, wall))
	s.held.expire(now)
	s.choosePlatform(now)
	s.refreshPeers()
	s.metrics.publish(s)
}

// choosePlatform tells the watcher whether this VM reads for its failure domain.
func (s *Server) choosePlatform(now time.Duration) {
	watches := s.node.Tracker.Watches(now)
	select {
	case <-s.watch:
	default:
	}
	s.watch <- watches
}

func (s *Server) refreshPeers() {
	clear(s.peers)
	for _, vm := range s.node.Tracker.Targets() {
		if addr, err := netip.ParseAddrPort(vm.Data); err == nil {
			s.peers[vm.Name] = addr
		}
	}
}

// perform does what the node asks for.
func (s *Server) perform(outs []sparnode.Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case sparnode.Beat:
			s.sendControl(out.To, sparcontrol.EncodeBeat(out.Report))
		case sparnode.Frame:
			s.sendControl(out.To, sparcontrol.EncodeFrame(out.Message))
		case sparnode.Pull:
			s.pulls.Put(out)
		case sparnode.Sweep:
			s.sweeps.Put(out)
		case sparnode.Release:
			if p := s.held.take(out.Key); p != nil {
				s.decideOn(p)
			}
		}
	}
}

func (s *Server) sendControl(to sparconfig.VM, b []byte) {
	addr, err := netip.ParseAddrPort(to.Control)
	if err != nil {
		return
	}
	s.metrics.controlBytes(len(b))
	_, _ = s.control.WriteToUDPAddrPort(b, addr) // a lost datagram is sent again
}
