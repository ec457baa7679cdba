// Package spardemo runs a small deployment on one machine and shows that long flows are
// not broken while an upstream drains and a VM is replaced.
package spardemo

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/pool"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparhost"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparsite"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

const (
	team           = "kalkkirinne"
	runTimeout     = 20 * time.Second
	requestTimeout = 4 * time.Second
	settleTime     = 2500 * time.Millisecond
	workers        = 32
	clientNet      = 0xCB007100 // 203.0.113.0
)

type (
	// Config configures a run.
	Config struct {
		Flows int    // to hold open
		Seed  uint64 // of the fabric
	}

	// service is one of the two services of the demo.
	service struct {
		name      string
		at        sparflow.Endpoint
		servers   []*sparhost.Server
		upstreams []sparflow.Endpoint
	}

	// demo is one run.
	demo struct {
		cfg       Config
		out       io.Writer
		site      *sparsite.Site
		services  []*service
		client    *sparhost.Client
		flows     []*flow
		requests  atomic.Int64
		answered  atomic.Int64 // by the service and upstream of the flow
		misrouted atomic.Int64 // answered by another service
	}

	// flow is one connection, whose service and upstream must not change.
	flow struct {
		conn     *sparhost.Conn
		service  *service
		upstream string // "" until the first response
		broken   atomic.Bool
	}
)

// Run runs the demo and prints its steps and results to w. It returns an error if a flow
// broke or a packet reached another service.
func Run(ctx context.Context, w io.Writer, cfg Config) (err error) {
	defer func() {
		if err != nil {
			err = errors.Annotate(err, "demo")
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	site, err := sparsite.New(log, cfg.Seed)
	if err != nil {
		return err
	}
	defer site.Close()
	d := &demo{cfg: cfg, out: w, site: site}
	return d.run(ctx)
}

func (d *demo) run(ctx context.Context) (err error) {
	d.say("start 4 VMs in 2 failure domains, services booking (8 upstreams) and sheets (3)")
	for i, domain := range []string{"north", "south", "north", "south"} {
		if _, err := d.site.StartVM(fmt.Sprintf("vm-%d", i+1), domain); err != nil {
			return err
		}
	}
	sparring.Pause(ctx, settleTime)
	if err := d.start(); err != nil {
		return err
	}
	sparring.Pause(ctx, settleTime/2)
	d.say("open %d long flows, each packet through a random VM", d.cfg.Flows)
	if err := d.open(ctx); err != nil {
		return err
	}
	d.request(ctx)
	booking := d.services[0]
	d.say("drain upstream %s", booking.upstreams[0])
	d.serve(booking, booking.upstreams[0].String())
	sparring.Pause(ctx, settleTime)
	d.request(ctx)
	d.say("replace vm-1: it hands over while vm-5 joins")
	if _, err := d.site.StartVM("vm-5", "north"); err != nil {
		return err
	}
	if err := d.site.StopVM(d.site.VMs()[0]); err != nil {
		return err
	}
	d.request(ctx)
	sparring.Pause(ctx, settleTime/2) // until the other VMs have noticed that it left
	return d.report(ctx)
}

func (d *demo) start() (err error) {
	booking := &service{name: "booking", at: sparsite.Endpoint("198.51.100.1:443")}
	sheets := &service{name: "sheets", at: sparsite.Endpoint("198.51.100.2:443")}
	d.services = []*service{booking, sheets}
	for i, count := range []int{8, 3} {
		s := d.services[i]
		for n := range count {
			at := sparflow.MakeEndpoint(0x0A000000|uint32(i+1)<<8|uint32(n+1), 8080)
			server, err := sparhost.NewServer(d.site.Fabric.Address(), sparhost.ServerConfig{At: at, Service: s.name})
			if err != nil {
				return err
			}
			s.servers = append(s.servers, server)
			s.upstreams = append(s.upstreams, at)
		}
		d.serve(s, "")
	}
	d.client, err = sparhost.NewClient(d.site.Fabric.Address())
	return err
}

// serve writes the document of a service. An upstream named by draining drains for an hour.
func (d *demo) serve(s *service, draining string) {
	document := sparconfig.Document{Address: s.at.String(), Proto: "tcp"}
	for _, at := range s.upstreams {
		document.Upstreams = append(document.Upstreams, sparconfig.Member{At: at.String()})
	}
	if draining != "" {
		document, _ = document.WithDrain(draining, time.Now().Add(time.Hour))
	}
	d.site.Serve(team, s.name, document)
}

func (d *demo) open(ctx context.Context) error {
	for n := range d.cfg.Flows {
		f := &flow{service: d.services[0]}
		if n%5 == 4 {
			f.service = d.services[1]
		}
		d.flows = append(d.flows, f)
	}
	return d.each(func(n int, f *flow) error {
		from := sparflow.MakeEndpoint(clientNet+uint32(n%200)+1, uint16(20000+n/200))
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		conn, err := d.client.Open(ctx, from, f.service.at, f.service.name)
		if err != nil {
			return err
		}
		f.conn = conn
		return nil
	})
}

// request sends one request on each flow and checks which upstream answered it.
func (d *demo) request(ctx context.Context) {
	d.say("ask once on every flow")
	_ = d.each(func(n int, f *flow) error {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		id := fmt.Sprintf("request-%d", d.requests.Add(1))
		response, err := f.conn.Do(ctx, id)
		switch {
		case err != nil:
			f.broken.Store(true)
		case response.Service != f.service.name:
			d.misrouted.Add(1)
		case response.ID == id && (f.upstream == "" || f.upstream == response.Upstream):
			f.upstream = response.Upstream
			d.answered.Add(1)
		default:
			f.broken.Store(true)
		}
		return nil
	})
}

func (d *demo) each(do func(n int, f *flow) error) error {
	group := pool.New().WithMaxGoroutines(workers).WithErrors().WithFirstError()
	for n, f := range d.flows {
		group.Go(func() error { return do(n, f) })
	}
	return group.Wait()
}

// report prints a table of the results and the status text.
func (d *demo) report(ctx context.Context) (err error) {
	broken := 0
	for _, f := range d.flows {
		if f.broken.Load() {
			broken++
		}
	}
	misrouted := d.misrouted.Load()
	most, total := 0, 0
	for _, server := range d.services[0].servers {
		stats := server.Stats()
		most = max(most, stats.Conns)
		total += stats.Conns
	}
	for _, s := range d.services {
		for _, server := range s.servers {
			misrouted += int64(server.Stats().Misrouted)
		}
	}
	table := tabwriter.NewWriter(d.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "\nrequests\twhole answers\tbroken flows\twrong service\tbooking max/mean load\n")
	fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%.2f\n\n", d.requests.Load(), d.answered.Load(), broken, misrouted,
		float64(most)*float64(len(d.services[0].servers))/float64(max(total, 1)))
	if err := table.Flush(); err != nil {
		return err
	}
	status := sparstatus.Read(ctx, []string{d.site.VMs()[0].File.Control})
	fmt.Fprint(d.out, status.Text())
	if broken > 0 || misrouted > 0 {
		return errors.Errorf("%d flows broken, %d requests reached another service", broken, misrouted)
	}
	return nil
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "demo: "+format+"\n", args...)
}
