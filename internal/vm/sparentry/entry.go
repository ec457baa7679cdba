// Package sparentry runs one entry VM on a fabric that echoes a cookie. It provides the
// sockets, timers and calls; sparcookie decides on packets and sparsync on reading and
// passing on settings.
//
// Each task runs in a goroutine of its own. Bounded rings connect the goroutines. Only the
// event loop owns state; the other goroutines do I/O:
//
//	readPackets ──packets─▶ eventLoop ──▶ data socket
//	readControl ──inputs──▶   │  ◀──queries── twirp handlers
//	platformReader inputs─▶   ├───reads───▶ platformReader
//	platformWriter inputs─▶   ├───writes──▶ platformWriter
//	puller ───────inputs──▶   ├───pulls───▶ puller
//	connector ────inputs──▶   └──connects─▶ connector
//
//	vm, err := sparentry.New(file, store, log)
//	err = vm.Run(ctx, reload) // returns after ctx ends and the VM has left the fabric
package sparentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparsocket"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// packetRing is the number of packets that may wait for the event loop: 20 ms at
	// 200,000 packets a second, about the throughput of a VM. A packet that waits
	// longer is of no use, since its sender has retransmitted it by then.
	packetRing = 4096
	// inputRing is the number of inputs that may wait for the event loop: one from each VM
	// of a large fabric when all of them start at once.
	inputRing = 1024
	// queryRing is the number of queries of VMs and operators that may wait.
	queryRing = 64
	// pullRing is the number of pulls that may wait. Only one runs at a time, but the next
	// may be queued before a pull that was abandoned has returned.
	pullRing = 16
	// writeRing is the number of writes that may wait: the registration of this VM, those
	// that one seed of a large fleet makes for other VMs, and a removal for each VM directly
	// below this one in the notification tree.
	writeRing = 32

	// socketBuffer is the size of a socket's kernel buffer in bytes: the packets of a ring
	// at their usual size.
	socketBuffer = 4 << 20
)

type (
	// Store is what a VM needs of the platform.
	Store interface {
		// List reads all entries, linearizably.
		List(ctx context.Context) (platform.Listing, error)
		// VMs reads the registered VMs, linearizably.
		VMs(ctx context.Context) ([]sparconfig.VM, error)
		// Position reads the position of the platform, linearizably.
		Position(ctx context.Context) (sparregistry.Position, error)
		// Changes reads the changes after a revision, unless they have more than limit bytes.
		// Some may be missing.
		Changes(ctx context.Context, after uint64, limit int) (platform.Changes, error)
		// Put writes all entries if each is still at its revision, where 0 means absent, and
		// otherwise none. It returns their new position.
		Put(ctx context.Context, entries ...sparregistry.Entry) (sparregistry.Position, error)
		// Remove removes an entry if it is still at its revision.
		Remove(ctx context.Context, e sparregistry.Entry) error
		// Calls returns the number of calls made so far.
		Calls() uint64
	}

	// VM is one running entry VM. Use New.
	VM struct {
		file    sparconfig.File
		carrier sparconfig.CookieCarrier
		log     *logrus.Entry
		store   Store

		data       *net.UDPConn
		control    *net.UDPConn
		controlTCP net.Listener
		readiness  net.Listener // for the probes of the fabric
		port       uint16       // of clients, for packets sent back to them

		packets  *sparring.Ring[*packet]
		inputs   *sparring.Ring[input]
		queries  *sparring.Queries[*VM]
		pulls    *sparring.Ring[pull]
		connects *sparring.Ring[sparprobe.Upstream]
		reads    *sparring.Ring[readRequest]
		writes   *sparring.Ring[write]
		buffers  sync.Pool
		ready    atomic.Bool
		left     chan struct{} // closed once sparleave reports that the VM has left
		drained  chan struct{} // closed once accepted control requests have ended, or after drainTimeout

		began        time.Time
		tickedAt     time.Duration // since began
		clock        clock
		engine       *sparcookie.Engine
		sync         *sparsync.Sync
		registry     sparregistry.Registry
		timeline     *spartimeline.Ring
		stamps       spartimeline.Clock
		metrics      *metrics
		deltas       deltaCache
		registration registration
		early        []*packet // queued until the first settings
		synced       bool
		reachable    bool                  // the last read of the platform succeeded
		platformLost bool                  // a read of the platform failed, and no fresh settings have arrived since
		platformAt   sparregistry.Position // of the last read of this VM
		age          time.Duration         // of the settings, at the last tick or datagram
		leave        sparleave.Leave
		hedges       *hedger // nil if openings are not hedged
		reporter     *reporter
		prober       *prober
	}
)

// New opens the sockets of the VM.
func New(file sparconfig.File, store Store, log *logrus.Logger) (vm *VM, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "VM %s", file.Name)
		}
	}()
	carrier, ok := file.CarrierSettings().(sparconfig.CookieCarrier)
	if !ok {
		return nil, errors.Errorf("carrier %s, expected %s", file.Carrier, sparconfig.Cookie)
	}
	vm = &VM{
		file: file, log: log.WithField("vm", file.Name), store: store, began: time.Now(),
		packets: sparring.New[*packet](packetRing), inputs: sparring.New[input](inputRing),
		queries: sparring.NewQueries[*VM](queryRing), pulls: sparring.New[pull](pullRing),
		reads: sparring.New[readRequest](1), writes: sparring.New[write](writeRing),
		engine: sparcookie.New(file.Name, file.Domain, file.Flows),
		sync:   sparsync.New(file.VM(), rand.Uint32(), carrier.Bound(), carrier.Beat), carrier: carrier,
		timeline: spartimeline.NewRing(spartimeline.DefaultSize), metrics: newMetrics(),
		reachable: true, left: make(chan struct{}), drained: make(chan struct{}),
		hedges: newHedger(carrier.Hedge), reporter: newReporter(file.Name),
		prober: newProber(file.VM(), carrier.Probe), connects: sparring.New[sparprobe.Upstream](connectRing),
	}
	vm.setWarmLimit()
	vm.buffers.New = func() any { return new(packet) }
	if vm.clock, err = newClock(); err != nil {
		return nil, err
	}
	vm.engine.SetHedge(carrier.Hedge)
	vm.sync.Seeds(file.Seeds)
	vm.port = netip.MustParseAddrPort(file.Data).Port()
	return vm, vm.open()
}

func (vm *VM) open() (err error) {
	if vm.data, err = sparsocket.Listen(vm.file.Data, socketBuffer); err != nil {
		return err
	}
	if vm.control, err = sparsocket.Listen(vm.file.Control, socketBuffer); err != nil {
		return err
	}
	if vm.controlTCP, err = net.Listen("tcp4", vm.file.Control); err != nil {
		return err
	}
	vm.readiness, err = net.Listen("tcp4", vm.carrier.Ready)
	return err
}

// Run serves until ctx ends, then continues until the fabric sends nothing more to this
// VM or the time that sparleave allows for it is over, and returns. Each file received on
// reload replaces the settings that may change.
func (vm *VM) Run(ctx context.Context, reload <-chan sparconfig.File) (err error) {
	vm.logStart() // before the event loop starts, which owns the timeline
	workers, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := pool.New().WithContext(workers).WithCancelOnError().WithFirstError()
	group.Go(func(context.Context) error { return vm.readPackets() })
	group.Go(func(context.Context) error { return vm.readControl() })
	group.Go(vm.platformReader)
	group.Go(vm.platformWriter)
	group.Go(vm.puller)
	group.Go(vm.connector)
	group.Go(vm.serveControl)
	group.Go(vm.serveProbes)
	group.Go(func(workers context.Context) error {
		defer cancel()
		return vm.eventLoop(workers, ctx, reload)
	})
	group.Go(func(workers context.Context) error {
		<-workers.Done()
		vm.close()
		return nil
	})
	err = group.Wait()
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		err = nil
	}
	vm.logStop(err)
	return err
}

// close closes the sockets. The goroutines that use them get net.ErrClosed and return.
func (vm *VM) close() {
	for _, c := range []interface{ Close() error }{vm.data, vm.control, vm.controlTCP, vm.readiness, vm.metrics.set} {
		_ = c.Close() // no data is pending
	}
}
