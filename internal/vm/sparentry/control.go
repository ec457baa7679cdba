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
	// pullTimeout bounds a pull: some round trips, and a large change on a slow link.
	pullTimeout = 700 * time.Millisecond
	readWait    = 5 * time.Second
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
	mux.Handle(sparcontrol.ControlPathPrefix, sparcontrol.NewControlServer(handler{vm: vm}))
	mux.Handle(sparmetrics.Path, vm.metrics.set.Handler)
	return serve(ctx, vm.web, mux)
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
	return serve(ctx, vm.probe, mux)
}

func serve(ctx context.Context, listener net.Listener, mux http.Handler) error {
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readWait}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		<-ctx.Done()
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
	client := &http.Client{Timeout: pullTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: pullTimeout, KeepAlive: -1}).DialContext, DisableKeepAlives: true,
	}}
	for {
		select {
		case p := <-vm.pulls.Out():
			reply, err := sparcontrol.Dial(p.ask.From.Control, client).Pull(ctx, &sparcontrol.PullRequest{After: p.ask.After})
			vm.post(ctx, pulled{pull: p, reply: reply, err: err})
		case <-ctx.Done():
			return nil
		}
	}
}
