// Package sparstand is the command line of the fakes around the product. Each runs until
// SIGTERM, except caller, which prints its counts as JSON when it is done:
//
//	sparstand platform --listen 127.0.0.1:8500
//	sparstand fabric --listen 127.0.0.1:6081 --platform 127.0.0.1:8500
//	sparstand upstream --fabric 127.0.0.1:6081 --service booking --at 10.0.1.1:8080
//	sparstand caller --fabric 127.0.0.1:6081 --service booking --address 198.51.100.1:443
package sparstand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/platform/sparkv"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparfabric"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparhost"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparstore"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

const (
	listEvery     = 300 * time.Millisecond
	announceEvery = time.Second
)

type (
	arguments struct {
		Platform *platform `arg:"subcommand:platform" help:"key-value service"`
		Fabric   *fabric   `arg:"subcommand:fabric" help:"sprays packets over the VMs on the platform's list"`
		Upstream *upstream `arg:"subcommand:upstream" help:"one server"`
		Caller   *client   `arg:"subcommand:caller" help:"opens flows and asks on them"`
	}

	command interface {
		run(ctx context.Context, stdout io.Writer) error
	}

	platform struct {
		Listen string `arg:"--listen,required" help:"TCP address"`
	}

	fabric struct {
		Listen   string `arg:"--listen,required" help:"UDP address"`
		Platform string `arg:"--platform,required" help:"address of the platform"`
		Seed     uint64 `arg:"--seed" default:"1"`
	}

	upstream struct {
		Fabric  string        `arg:"--fabric,required"`
		At      string        `arg:"--at,required"`
		Service string        `arg:"--service,required"`
		Cold    time.Duration `arg:"--cold" help:"ignore openings for this long"`
	}
)

// Main runs a command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "sparstand"}, &a)
	if err == nil {
		err = parser.Parse(args)
	}
	if err != nil {
		fmt.Fprintf(stderr, "sparstand: %v\n", err)
		return 2
	}
	s, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(stderr)
		return 2
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	if err := s.run(ctx, stdout); err != nil {
		fmt.Fprintf(stderr, "sparstand: %v\n", err)
		return 1
	}
	return 0
}

func (p *platform) run(ctx context.Context, _ io.Writer) error {
	server := &http.Server{Addr: p.Listen, Handler: sparstore.New(), ReadHeaderTimeout: time.Minute}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}

func (f *fabric) run(ctx context.Context, _ io.Writer) error {
	fab, err := sparfabric.New(f.Listen, f.Seed)
	if err != nil {
		return err
	}
	go fab.Run()
	defer fab.Close()
	kv := sparkv.New(f.Platform)
	for ctx.Err() == nil {
		if listing, err := kv.List(ctx, sparconfig.VMKey(""), 0); err == nil {
			fab.Spray(addresses(listing))
		}
		sparring.Pause(ctx, listEvery)
	}
	return nil
}

func addresses(listing sparkv.Listing) (list []netip.AddrPort) {
	var r sparregistry.Registry
	for _, vm := range sparconfig.VMs(r.WithFullRead(listing.Entries, sparregistry.Position{Revision: listing.Revision})) {
		if vm.State == sparconfig.Live {
			list = append(list, netip.MustParseAddrPort(vm.Data))
		}
	}
	return list
}

func (u *upstream) run(ctx context.Context, _ io.Writer) error {
	at, err := sparflow.ParseEndpoint(u.At)
	if err != nil {
		return err
	}
	fabricAddr, err := netip.ParseAddrPort(u.Fabric)
	if err != nil {
		return err
	}
	server, err := sparhost.NewServer(fabricAddr, sparhost.ServerConfig{At: at, Service: u.Service, Cold: u.Cold})
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		server.Announce()
		sparring.Pause(ctx, announceEvery)
	}
	return nil
}
