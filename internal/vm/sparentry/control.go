package sparentry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/log/sparmetrics"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/wire/spartransfer"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// pullTimeout is how long a pull may make no progress. It covers a few round trips and the
	// encoding of the settings of a large fleet.
	pullTimeout = 700 * time.Millisecond
	// progressInterval is the least time between two reports that a pull makes progress.
	progressInterval = 100 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	// requestTimeout bounds reading a request, and the time without progress while its response
	// is written. Without it, a peer behind a network partition would keep the response in memory.
	requestTimeout = 5 * time.Second
	// drainTimeout is how long accepted requests may still run once the VM has left. It covers
	// a survey, the longest request.
	drainTimeout = sparcontrol.SurveyTimeout + 100*time.Millisecond
	idleTimeout  = time.Minute
	maxRequest   = 1 << 16 // bytes; a request usually has a few dozen
	maxDatagram  = 1 << 16
)

// readControl reads datagrams from the control socket until it is closed.
func (vm *VM) readControl() error {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := vm.control.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			vm.metrics.unread.Add(1) // the peer of an earlier datagram refused it; the socket still works
			continue
		}
		datagram, err := sparcontrol.Decode(buffer[:size])
		if err != nil {
			vm.metrics.badControl.Add(1)
			continue
		}
		vm.inputs.Put(received{datagram: datagram}) // a dropped notification is sent again
	}
}

// sendControl sends a datagram to a peer.
func (vm *VM) sendControl(to sparconfig.VM, b []byte) {
	addr, err := netip.ParseAddrPort(to.Control)
	if err != nil {
		vm.metrics.unsent.Add(1) // only the name of the peer is known until it sends its address
		return
	}
	vm.metrics.control.Add(uint64(len(b)))
	if _, err := vm.control.WriteToUDPAddrPort(b, addr); err != nil {
		vm.metrics.unsent.Add(1)
	}
}

// serveControl serves requests of VMs, operators and metrics collectors.
func (vm *VM) serveControl(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(sparcontrol.ControlPathPrefix, sparcontrol.NewControlServer(handler{vm: vm}, vm.hooks(ctx)))
	mux.Handle(sparmetrics.Path, vm.metrics.set.Handler)
	return serve(ctx, vm.controlTCP, mux, vm.left, vm.drained)
}

// serveProbes answers the readiness probes of the fabric, which sends packets only to
// ready VMs.
func (vm *VM) serveProbes(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !vm.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			vm.inputs.Put(probed{}) // if the ring is full, this VM leaves later
		}
	})
	return serve(ctx, vm.readiness, mux, nil, nil)
}

// serve serves HTTP requests until ctx ends. Once left is closed it accepts no more
// requests, waits up to drainTimeout for those accepted to finish, and closes drained.
func serve(ctx context.Context, listener net.Listener, mux http.Handler, left <-chan struct{}, drained chan<- struct{}) error {
	server := &http.Server{
		Handler:     spartransfer.Handler(http.MaxBytesHandler(mux, maxRequest), requestTimeout),
		ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: idleTimeout,
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		select {
		case <-left:
			drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
			defer cancel()
			_ = server.Shutdown(drainCtx) // Close below aborts requests that take longer
			close(drained)
			<-ctx.Done()
		case <-ctx.Done():
		}
		_ = server.Close() // the listener may be closed already
	})
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return nil
	}
	return err
}

// puller pulls settings from other VMs until ctx ends.
func (vm *VM) puller(ctx context.Context) error {
	client := &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext, DisableKeepAlives: true,
	}}
	for {
		select {
		case p := <-vm.pulls.Out():
			vm.post(ctx, vm.fetch(ctx, client, p))
		case <-ctx.Done():
			return nil
		}
	}
}

// fetch pulls settings from a peer and decodes them.
func (vm *VM) fetch(ctx context.Context, client *http.Client, p pull) pulled {
	caller := spartransfer.Caller{Client: client, Stall: pullTimeout, Progress: vm.reportProgress(ctx)}
	peer := sparcontrol.Dial(p.req.From.Control, caller)
	reply, err := peer.Pull(ctx, &sparcontrol.PullRequest{After: p.req.After.Revision, Era: p.req.After.Era, From: sparcontrol.FromVM(vm.file.VM())})
	if err != nil || reply.Busy || !reply.Synced {
		return pulled{pull: p, reply: reply, err: err}
	}
	age, err := sparcontrol.ToAge(reply.Age)
	if err != nil {
		return pulled{pull: p, err: err}
	}
	delta, err := sparcontrol.DecodeDelta(reply.Share)
	return pulled{pull: p, reply: reply, age: age, delta: delta, err: err}
}

// reportProgress returns a function that reports to the event loop, at most once each progressInterval,
// that the pull under way makes progress.
func (vm *VM) reportProgress(ctx context.Context) func() {
	reported := time.Now()
	return func() {
		if now := time.Now(); now.Sub(reported) >= progressInterval {
			reported = now
			vm.post(ctx, pullProgress{})
		}
	}
}
