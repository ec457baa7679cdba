// Package sparentry runs one entry VM on a fabric that echoes a cookie: the sockets,
// timers and calls around the decisions of sparcookie and sparsync.
//
// Each duty has a goroutine of its own, a thread, joined to the others by bounded
// rings. One thread decides and owns all state; the others only move bytes:
//
//	intake ──packets──▶ decide ──▶ data socket
//	listener ─inputs──▶   │  ◀──asks──── twirp handlers
//	reader ───inputs──▶   ├───reads──▶ reader, registrar
//	puller ───inputs──▶   └───pulls──▶ puller
//
//	vm, err := sparentry.New(file, log)
//	err = vm.Run(ctx, reload) // returns once the fabric has left this VM
package sparentry

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparsocket"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// packetRing is the number of packets between intake and decision: 20 ms of 200,000
	// a second, about what a VM passes on. Older ones are as good as lost, since
	// their senders repeat them.
	packetRing = 4096
	// inputRing is the number of datagrams and outcomes that wait for the deciding
	// thread: one of each VM of a large fabric that starts at once.
	inputRing = 1024
	// askRing is the number of questions of VMs and operators that wait.
	askRing = 64
	// pullRing is the number of pulls that wait: one is under way at a time, and one
	// that is given up may be followed before its end is known.
	pullRing = 16
	// writeRing is the number of writes that wait: the listing of this VM, a large fleet's
	// share of those that a seed lists, and as many removals as the tree has VMs below one.
	writeRing = 32

	// socketQueue is the kernel's queue of a socket in bytes: the packets of a ring at
	// their usual size.
	socketQueue = 4 << 20

	// tickEvery is how often time is acted on: a fraction of the 200 ms after which
	// a caller repeats a packet.
	tickEvery = 50 * time.Millisecond
	// startTick is the same while a VM has no settings, so that none of its waits is longer
	// than it need be.
	startTick = 5 * time.Millisecond
)

type (
	// Store is what a VM needs of the platform.
	Store interface {
		// List reads every key, linearizably.
		List(ctx context.Context) (platform.Reading, error)
		// VMs reads the VMs that are listed, linearizably.
		VMs(ctx context.Context) ([]sparconfig.VM, error)
		// Revision reads the revision of the platform, linearizably.
		Revision(ctx context.Context) (uint64, error)
		// Changes reads what has changed after a revision. Some may be missing.
		Changes(ctx context.Context, after uint64) (platform.Changes, error)
		// Put writes entries that are all still at their revisions, 0 meaning absent, or
		// none, and returns the revision at which they stand then.
		Put(ctx context.Context, entries ...sparregistry.Entry) (uint64, error)
		// Remove takes an entry away that is still at its revision.
		Remove(ctx context.Context, e sparregistry.Entry) error
		// Calls returns the number of calls made so far.
		Calls() uint64
	}

	// VM is one running entry VM. Use New.
	VM struct {
		file  sparconfig.File
		wire  sparconfig.CookieCarrier
		log   *logrus.Entry
		store Store

		data    *net.UDPConn
		control *net.UDPConn
		web     net.Listener
		probe   net.Listener
		port    uint16 // of callers, for packets back to them

		packets *sparring.Ring[*packet]
		inputs  *sparring.Ring[input]
		asks    *sparring.Questions[*VM]
		pulls   *sparring.Ring[pull]
		reads   *sparring.Ring[order]
		writes  *sparring.Ring[write]
		buffers sync.Pool
		ready   atomic.Bool
		ending  chan struct{} // closed once the fabric has left
		ended   chan struct{} // closed once requests that were accepted have ended

		began     time.Time
		clock     clock
		engine    *sparcookie.Engine
		sync      *sparsync.Sync
		registry  sparregistry.Registry
		timeline  *spartimeline.Ring
		stamps    spartimeline.Clock
		metrics   *metrics
		shares    shareCache
		listed    listing
		early     []*packet // held until the first settings
		synced    bool
		reachable bool // the platform answered this VM last
		lost      bool // it did not, and nobody has told newer settings since
		age       time.Duration
		leave     sparleave.Leave
	}
)

// New opens the sockets of the VM.
func New(file sparconfig.File, store Store, log *logrus.Logger) (vm *VM, err error) {
	defer func() {
		if err != nil {
			err = errors.Annotatef(err, "VM %s", file.Name)
		}
	}()
	wire, ok := file.Wire().(sparconfig.CookieCarrier)
	if !ok {
		return nil, errors.Errorf("carrier %s, expected %s", file.Carrier, sparconfig.Cookie)
	}
	vm = &VM{
		file: file, log: log.WithField("vm", file.Name), store: store, began: time.Now(),
		packets: sparring.New[*packet](packetRing), inputs: sparring.New[input](inputRing),
		asks: sparring.NewQuestions[*VM](askRing), pulls: sparring.New[pull](pullRing),
		reads: sparring.New[order](1), writes: sparring.New[write](writeRing),
		engine: sparcookie.New(file.Name, file.Domain, file.Flows),
		sync:   sparsync.New(file.VM(), wire.Force), wire: wire,
		timeline: spartimeline.NewRing(spartimeline.DefaultSize), metrics: newMetrics(),
		reachable: true, ending: make(chan struct{}), ended: make(chan struct{}),
	}
	vm.buffers.New = func() any { return new(packet) }
	if vm.clock, err = newClock(); err != nil {
		return nil, err
	}
	vm.sync.Seeds(file.Seeds)
	vm.port = netip.MustParseAddrPort(file.Data).Port()
	return vm, vm.open()
}

func (vm *VM) open() (err error) {
	if vm.data, err = sparsocket.Listen(vm.file.Data, socketQueue); err != nil {
		return err
	}
	if vm.control, err = sparsocket.Listen(vm.file.Control, socketQueue); err != nil {
		return err
	}
	if vm.web, err = net.Listen("tcp4", vm.file.Control); err != nil {
		return err
	}
	vm.probe, err = net.Listen("tcp4", vm.wire.Ready)
	return err
}

// Run serves until ctx ends, then goes on until the fabric has left and returns. A
// value on reload brings new settings.
func (vm *VM) Run(ctx context.Context, reload <-chan sparconfig.File) (err error) {
	vm.logStart() // before the thread that owns the time line
	threads, cancel := context.WithCancel(context.Background())
	defer cancel()
	group := pool.New().WithContext(threads).WithCancelOnError().WithFirstError()
	group.Go(func(context.Context) error { return vm.intake() })
	group.Go(func(context.Context) error { return vm.listen() })
	group.Go(vm.reader)
	group.Go(vm.registrar)
	group.Go(vm.puller)
	group.Go(vm.serveControl)
	group.Go(vm.serveProbes)
	group.Go(func(threads context.Context) error {
		defer cancel()
		return vm.decide(threads, ctx, reload)
	})
	group.Go(func(threads context.Context) error {
		<-threads.Done()
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

// close ends the sockets. Their threads see net.ErrClosed and end.
func (vm *VM) close() {
	for _, c := range []interface{ Close() error }{vm.data, vm.control, vm.web, vm.probe, vm.metrics.set} {
		_ = c.Close() // nothing is left to be lost
	}
}

// decide is the thread that owns the state.
func (vm *VM) decide(threads, stop context.Context, reload <-chan sparconfig.File) error {
	ticker := time.NewTicker(startTick)
	defer ticker.Stop()
	starting := true
	stopping := stop.Done()
	ending := vm.ending
	vm.tick()
	for {
		select {
		case p := <-vm.packets.Out():
			vm.forward(p)
		case in := <-vm.inputs.Out():
			vm.take(in)
		case answer := <-vm.asks.Out():
			answer(vm)
		case file := <-reload:
			vm.reload(file)
		case <-ticker.C:
			vm.tick()
			if starting && vm.synced {
				starting = false
				ticker.Reset(tickEvery)
			}
			if ending != nil && vm.leave.Done(vm.clock.now()) {
				close(ending)
				ending = nil
			}
		case <-vm.ended:
			return nil
		case <-stopping:
			stopping = nil
			vm.leave.Begin(vm.file.Name, vm.clock.now(), vm.wire.Grace)
			vm.logLeaving()
			vm.depart(vm.clock.now())
		case <-threads.Done():
			return nil
		}
	}
}

// reload takes the settings that may change while the VM runs. Addresses stay.
func (vm *VM) reload(file sparconfig.File) {
	vm.file.Seeds = file.Seeds
	if wire, ok := file.Wire().(sparconfig.CookieCarrier); ok {
		vm.wire.Grace = wire.Grace
	}
	vm.sync.Seeds(file.Seeds)
	vm.logReload()
}

// tick does what time makes due.
func (vm *VM) tick() {
	now := vm.clock.now()
	vm.engine.Advance(time.Since(vm.began))
	vm.engine.Fresh(vm.sync.Fresh(now))
	vm.age = vm.sync.Age(now)
	vm.engine.Tick()
	state := vm.sync.State()
	vm.perform(vm.sync.Tick(now), now)
	if vm.sync.Fresh(now) {
		vm.regain(vm.sync.Reader())
	}
	vm.register(now)
	vm.depart(now)
	vm.logState(state)
	vm.logEvents()
	vm.metrics.publish(vm)
}

// depart takes turns with the other VMs of the failure domain that were told to stop.
func (vm *VM) depart(now time.Duration) {
	if !vm.leave.Begun() {
		return
	}
	siblings := vm.siblings()
	refused := !vm.leave.Ready()
	for _, d := range vm.leave.Tick(len(siblings)+1, now) {
		for _, sibling := range siblings {
			vm.tell(sibling, sparcontrol.EncodeDeparture(d))
		}
	}
	if !vm.leave.Ready() && !refused {
		vm.ready.Store(false)
		vm.logRefusing()
	}
}

// siblings returns the other VMs of this failure domain.
func (vm *VM) siblings() []sparconfig.VM {
	return slices.DeleteFunc(vm.others(), func(other sparconfig.VM) bool { return other.Domain != vm.file.Domain })
}
