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

	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparsocket"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparnode"
	"github.com/oleanderspar/oleanderspar/internal/wire/sparpacket"
)

const (
	// packetRing and sendRing are the numbers of packets that may wait for the event loop and for
	// the data socket. One packet may cause two: itself, and a copy that was held.
	packetRing = 4096
	sendRing   = 2 * packetRing
	// inputRing is the number of inputs that may wait for the event loop. The datagrams among them
	// are sent again if they are dropped.
	inputRing = 1024
	// pullRing is the number of pulls, and of writes to the platform, that may wait. What does not
	// fit is requested again.
	pullRing = 64
	// queryRing is the number of queries of VMs and operators that may wait.
	queryRing = 64

	// socketBuffer is the size of a socket's kernel buffer in bytes: room for twice the
	// packets of a ring.
	socketBuffer = 8 << 20
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
)

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
		claims: sparring.New[sparnode.ReleaseClaim](pullRing), eras: sparring.New[sparnode.RaiseEra](1),
		queries: sparring.NewQueries[*Server](queryRing), held: newHeldPackets(), metrics: newMetrics(),
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
