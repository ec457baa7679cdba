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
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	// changesTimeout bounds a pull of changes: some round trips, and a large change on a
	// slow link.
	changesTimeout = 700 * time.Millisecond
	// wholeTimeout bounds a pull of everything: that of a large fleet, beside another one.
	wholeTimeout = 1500 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
	// callWait bounds the reading of a request and the writing of its answer. A peer behind
	// a cut reads nothing, and would hold the answer in memory.
	callWait = 5 * time.Second
	// drainWait is how long requests that were accepted may go on once the fabric has left:
	// a survey, which is the longest.
	drainWait   = sparcontrol.SurveyWait + 100*time.Millisecond
	idleWait    = time.Minute
	maxRequest  = 1 << 16 // bytes; requests are a few dozen
	maxDatagram = 1 << 16
)

// listen is the thread that reads the control socket.
func (vm *VM) listen() error {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := vm.control.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			vm.metrics.unread.Add(1) // an earlier datagram was refused; the socket goes on
			continue
		}
		datagram, err := sparcontrol.Decode(buffer[:size])
		if err != nil {
			vm.metrics.badControl.Add(1)
			continue
		}
		vm.inputs.Put(heard{datagram: datagram}) // a lost notice is told again
	}
}

// tell sends a datagram to a peer.
func (vm *VM) tell(to sparconfig.VM, b []byte) {
	addr, err := netip.ParseAddrPort(to.Control)
	if err != nil {
		vm.metrics.unsent.Add(1) // a peer known by name alone, until it tells its address
		return
	}
	vm.metrics.control.Add(uint64(len(b)))
	if _, err := vm.control.WriteToUDPAddrPort(b, addr); err != nil {
		vm.metrics.unsent.Add(1)
	}
}

// serveControl is the thread that answers VMs, operators and metric collectors.
func (vm *VM) serveControl(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(sparcontrol.ControlPathPrefix, sparcontrol.NewControlServer(handler{vm: vm}, vm.hooks(ctx)))
	mux.Handle(sparmetrics.Path, vm.metrics.set.Handler)
	return serve(ctx, vm.web, mux, vm.ending, vm.ended)
}

// serveProbes is the thread that tells the fabric whether to send packets.
func (vm *VM) serveProbes(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !vm.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			vm.inputs.Put(probed{}) // one that is lost makes this VM leave later
		}
	})
	return serve(ctx, vm.probe, mux, nil, nil)
}

// serve answers requests until ctx ends. Once ending is closed it takes no more, lets those
// that were accepted go on for a while, and closes ended.
func serve(ctx context.Context, listener net.Listener, mux http.Handler, ending <-chan struct{}, ended chan<- struct{}) error {
	server := &http.Server{
		Handler: http.MaxBytesHandler(mux, maxRequest), ReadTimeout: callWait, WriteTimeout: callWait, IdleTimeout: idleWait,
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		select {
		case <-ending:
			drain, cancel := context.WithTimeout(ctx, drainWait)
			defer cancel()
			_ = server.Shutdown(drain) // what takes longer is cut off below
			close(ended)
			<-ctx.Done()
		case <-ctx.Done():
		}
		_ = server.Close() // its listener may be closed already
	})
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return nil
	}
	return err
}

// puller is the thread that fetches settings from other VMs.
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

// fetch pulls settings from a peer and reads them.
func (vm *VM) fetch(ctx context.Context, client *http.Client, p pull) pulled {
	timeout := changesTimeout
	if p.ask.After == 0 {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer := sparcontrol.Dial(p.ask.From.Control, client)
	reply, err := peer.Pull(ctx, &sparcontrol.PullRequest{After: p.ask.After, From: sparcontrol.FromVM(vm.file.VM())})
	if err != nil || reply.Busy || !reply.Synced {
		return pulled{pull: p, reply: reply, err: err}
	}
	age, err := sparcontrol.ToAge(reply.Age)
	if err != nil {
		return pulled{pull: p, err: err}
	}
	share, err := sparcontrol.DecodeShare(reply.Share)
	return pulled{pull: p, reply: reply, age: age, share: share, err: err}
}
