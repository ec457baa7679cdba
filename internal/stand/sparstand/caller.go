package sparstand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparhost"
	"github.com/oleanderspar/oleanderspar/internal/thread/sparring"
)

const (
	requestTimeout = 8 * time.Second
	workers        = 64
	clientNet      = 0xCB007100 // 203.0.113.0
)

type (
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
