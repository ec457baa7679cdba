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
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/sourcegraph/conc/pool"

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
	listEvery      = 300 * time.Millisecond
	announceEvery  = time.Second
	requestTimeout = 8 * time.Second
	workers        = 64
	clientNet      = 0xCB007100 // 203.0.113.0
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

	client struct {
		Fabric  string        `arg:"--fabric,required"`
		Service string        `arg:"--service,required"`
		Address string        `arg:"--address,required"`
		Flows   int           `arg:"--flows" default:"100"`
		Rounds  int           `arg:"--rounds" default:"3" help:"requests on each flow"`
		Every   time.Duration `arg:"--every" default:"1s" help:"time between rounds"`
		First   int           `arg:"--first" help:"number of the first flow"`
		Opened  string        `arg:"--opened" help:"file to write once all flows are open"`
	}

	// Counts is what a client observed.
	Counts struct {
		Opened  int
		Refused int
		Asked   int
		Whole   int
		Broken  int
		Wrong   int
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

func (c *client) run(ctx context.Context, stdout io.Writer) error {
	fabricAddr, err := netip.ParseAddrPort(c.Fabric)
	if err != nil {
		return err
	}
	address, err := sparflow.ParseEndpoint(c.Address)
	if err != nil {
		return err
	}
	host, err := sparhost.NewClient(fabricAddr)
	if err != nil {
		return err
	}
	run := &clientRun{client: c, host: host, address: address, upstreams: make([]string, c.Flows)}
	run.open(ctx)
	if c.Opened != "" {
		if err := os.WriteFile(c.Opened, []byte("open\n"), 0o644); err != nil {
			return err
		}
	}
	for round := range c.Rounds {
		run.request(ctx, round)
		sparring.Pause(ctx, c.Every)
	}
	run.close(ctx)
	return json.NewEncoder(stdout).Encode(run.counts)
}

// clientRun holds the flows of one client process.
type clientRun struct {
	*client
	host      *sparhost.Client
	address   sparflow.Endpoint
	conns     []*sparhost.Conn
	upstreams []string
	mu        sync.Mutex
	counts    Counts
}

func (c *clientRun) open(ctx context.Context) {
	c.conns = make([]*sparhost.Conn, c.Flows)
	c.each(func(i int) {
		n := c.First + i
		from := sparflow.MakeEndpoint(clientNet+uint32(n%200)+1, uint16(10000+n/200))
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		conn, err := c.host.Open(ctx, from, c.address, c.Service)
		c.count(func(counts *Counts) {
			if err != nil {
				counts.Refused++
				return
			}
			c.conns[i] = conn
			counts.Opened++
		})
	})
}

func (c *clientRun) request(ctx context.Context, round int) {
	c.each(func(i int) {
		if c.conns[i] == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		id := fmt.Sprintf("request-%d-%d", c.First+i, round)
		response, err := c.conns[i].Do(ctx, id)
		c.count(func(counts *Counts) {
			counts.Asked++
			switch {
			case err != nil:
				counts.Broken++
				c.conns[i] = nil
			case response.Service != c.Service:
				counts.Wrong++
			case response.ID != id || c.upstreams[i] != "" && c.upstreams[i] != response.Upstream:
				counts.Broken++
			default:
				c.upstreams[i] = response.Upstream
				counts.Whole++
			}
		})
	})
}

// close closes the remaining flows.
func (c *clientRun) close(ctx context.Context) {
	c.each(func(i int) {
		if c.conns[i] == nil {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		_ = c.conns[i].Close(ctx) // the counts are complete
	})
}

func (c *clientRun) count(add func(counts *Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	add(&c.counts)
}

func (c *clientRun) each(do func(i int)) {
	group := pool.New().WithMaxGoroutines(workers)
	for i := range c.Flows {
		group.Go(func() { do(i) })
	}
	group.Wait()
}
