// Package sparserver runs one entry VM: the sockets, timers and calls around a
// sparnode.Node, which does no I/O.
//
// Each task runs in a goroutine of its own. Bounded rings connect the goroutines. Only the
// event loop owns state; the other goroutines do I/O:
//
//	readData ─────packets──▶ eventLoop ──sends──▶ writeData
//	readControl ──inputs───▶   │  ◀─────queries── twirp handlers
//	watchPlatform ─inputs──▶   ├───────pulls────▶ pullSettings
//	                           └───────claims───▶ writePlatform
//
//	server, err := sparserver.New(file, log)
//	err = server.Run(ctx, abort) // returns once the VM has handed over
//
// The goroutines stop together: the first that fails stops the others.
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
	queryRing  = 64

	// socketBuffer is the size of a socket's kernel buffer in bytes: room for twice the
	// packets of a ring.
	socketBuffer    = 8 << 20
	handoverTimeout = 30 * time.Second
	forwardAfter    = 2 * time.Second // after the handover, for packets that the fabric still sends here
)

type (
	// Server is one running VM. Use New.
	Server struct {
		file       sparconfig.File
		log        *logrus.Entry
		store      *sparkv.Client
		node       *sparnode.Node
		began      time.Time
		data       *net.UDPConn
		control    *net.UDPConn
		controlTCP net.Listener

		packets   *sparring.Ring[*packet]
		sends     *sparring.Ring[*packet]
		inputs    *sparring.Ring[input]
		pulls     *sparring.Ring[sparnode.Pull]
		claims    *sparring.Ring[sparnode.ReleaseClaim]
		eras      *sparring.Ring[sparnode.RaiseEra]
		queries   *sparring.Queries[*Server]
		buffers   sync.Pool
		held      *heldPackets
		metrics   *metrics
		fabric    netip.AddrPort
		peers     map[string]netip.AddrPort // data address by VM name
		watch     chan bool                 // whether this VM reads the platform
		reachable bool                      // the last read of the platform succeeded
	}

	// packet is one datagram passed between goroutines.
	packet struct {
		buffer [sparpacket.MaxBytes]byte
		size   int
		from   netip.AddrPort
		to     netip.AddrPort
	}

	// input is a message from another goroutine to the event loop. It is a sealed interface.
	input interface {
		input()
	}

	// controlInput is a datagram from another VM.
	controlInput struct {
		datagram sparcontrol.Input
	}

	// platformInput is the result of a read of the platform.
	platformInput struct {
		listing sparkv.Listing
		err     error
	}

	// pullInput holds the settings pulled from another VM.
	pullInput struct {
		delta sparregistry.Delta
	}
)

func (controlInput) input()  {}
func (platformInput) input() {}
func (pullInput) input()     {}

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
		claims: sparring.New[sparnode.ReleaseClaim](pullRing), eras: sparring.New[sparnode.RaiseEra](1), queries: sparring.NewQueries[*Server](queryRing), held: newHeldPackets(), metrics: newMetrics(),
		fabric: netip.MustParseAddrPort(file.Fabric), peers: map[string]netip.AddrPort{},
		watch: make(chan bool, 1),
	}
	s.buffers.New = func() any { return new(packet) }
	if s.data, err = sparsocket.Listen(file.Data, socketBuffer); err != nil {
		return nil, err
	}
	if s.control, err = sparsocket.Listen(file.Control, socketBuffer); err != nil {
		return nil, err
	}
	if s.controlTCP, err = net.Listen("tcp4", file.Control); err != nil {
		return nil, err
	}
	return s, nil
}

// Run serves until ctx is done, then hands over its slots and returns. A value on abort
// makes it return at once, without a handover.
func (s *Server) Run(ctx context.Context, abort <-chan os.Signal) (err error) {
	workers, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := pool.New().WithContext(workers).WithCancelOnError().WithFirstError()
	group.Go(func(context.Context) error { return s.readData() })
	group.Go(func(context.Context) error { return s.readControl() })
	group.Go(s.writeData)
	group.Go(s.watchPlatform)
	group.Go(s.pullSettings)
	group.Go(s.writePlatform)
	group.Go(s.serveControl)
	group.Go(func(workers context.Context) error {
		defer cancel()
		return s.eventLoop(workers, ctx, abort)
	})
	group.Go(func(workers context.Context) error {
		<-workers.Done()
		_ = s.data.Close()
		_ = s.control.Close()
		_ = s.controlTCP.Close()
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

// clock returns the monotonic time since the start, and the wall time.
func (s *Server) clock() (now time.Duration, wall time.Time) {
	wall = time.Now()
	return wall.Sub(s.began), wall
}

// eventLoop runs the node, which no other goroutine may use. Once stop is done it hands over
// the slots and returns.
func (s *Server) eventLoop(workers, stop context.Context, abort <-chan os.Signal) error {
	ticker := time.NewTicker(sparnode.TickEvery)
	defer ticker.Stop()
	stopping := stop.Done()
	var stopped, handedOver time.Time
	for {
		select {
		case p := <-s.packets.Out():
			s.forward(p)
		case in := <-s.inputs.Out():
			s.receive(in)
		case query := <-s.queries.Out():
			query(s)
		case <-ticker.C:
			s.tick()
			switch {
			case stopped.IsZero():
			case handedOver.IsZero() && (s.node.HandedOver() || time.Since(stopped) > handoverTimeout):
				handedOver = time.Now()
			case !handedOver.IsZero() && time.Since(handedOver) > forwardAfter:
				s.log.Info("handed over")
				return nil
			}
		case <-stopping:
			stopping = nil
			stopped = time.Now()
			s.log.Info("handing over")
			s.node.Stop()
		case <-abort:
			return errors.New("aborted before the slots were handed over")
		case <-workers.Done():
			return nil
		}
	}
}

func (s *Server) receive(in input) {
	now, wall := s.clock()
	s.node.Advance(now, wall)
	switch in := in.(type) {
	case controlInput:
		s.node.Receive(in.datagram)
	case platformInput:
		s.reachable = in.err == nil
		if in.err == nil {
			s.node.MergeRead(in.listing.Entries, in.listing.Revision)
		}
	case pullInput:
		s.node.Merge(in.delta)
	}
	s.perform(s.node.Effects())
}

func (s *Server) tick() {
	now, wall := s.clock()
	s.perform(s.node.Tick(now, wall))
	s.held.expire(now)
	s.updateWatch(now)
	s.refreshPeers()
	s.metrics.publish(s)
}

// updateWatch notifies watchPlatform whether this VM reads the platform for its failure
// domain.
func (s *Server) updateWatch(now time.Duration) {
	reads := s.node.Tracker.ReadsPlatform(now)
	select {
	case <-s.watch:
	default:
	}
	s.watch <- reads
}

func (s *Server) refreshPeers() {
	clear(s.peers)
	for _, vm := range s.node.Tracker.Targets() {
		if addr, err := netip.ParseAddrPort(vm.Data); err == nil {
			s.peers[vm.Name] = addr
		}
	}
}

// perform carries out the outputs of the node.
func (s *Server) perform(outs []sparnode.Output) {
	for _, out := range outs {
		switch out := out.(type) {
		case sparnode.Beat:
			s.sendControl(out.To, sparcontrol.EncodeBeat(out.Report))
		case sparnode.Frame:
			s.sendControl(out.To, sparcontrol.EncodeFrame(out.Message))
		case sparnode.Pull:
			s.pulls.Put(out)
		case sparnode.ReleaseClaim:
			s.claims.Put(out)
		case sparnode.RaiseEra:
			s.eras.Put(out) // if the ring is full, one is under way
		case sparnode.Release:
			if p := s.held.take(out.Key); p != nil {
				s.forward(p)
			}
		}
	}
}

func (s *Server) sendControl(to sparconfig.VM, b []byte) {
	addr, err := netip.ParseAddrPort(to.Control)
	if err != nil {
		return
	}
	s.metrics.countDatagram(len(b))
	_, _ = s.control.WriteToUDPAddrPort(b, addr) // a lost datagram is sent again
}
