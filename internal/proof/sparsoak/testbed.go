package sparsoak

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparport"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	booking  = "booking"
	receipts = "receipts"

	workTime  = 8 * time.Millisecond
	readyWait = 10 * time.Second
	portTries = 20
	vmPrefix  = "vm/"
	extraPort = 9000 // first port of the routes added and removed during a run
)

var (
	repeatableRoute = sparflow.MakeEndpoint(0xc6120001, 8443)
	onceRoute       = sparflow.MakeEndpoint(0xc6120001, 8080)
	receiptsRoute   = sparflow.MakeEndpoint(0xc6120002, 8443)
)

// testbed is a deployment on loopback: the entry VMs and the fakes around them.
type testbed struct {
	plan        Plan
	dir         string
	began       time.Time
	rng         *random
	store       *sparfake.Store
	storeServer *httptest.Server
	vms         []*vm
	domains     map[netip.AddrPort]string
	fabric      *fabric
	clients     []*sparfake.Client
	vmClients   map[*vm]*sparfake.Client
	faultLog    *faultLog
	checker     *checker
	dataPort    uint16 // of the clients and of the data sockets of the VMs
	controlPort uint16
	operator    operator
	evacuation  evacuation

	mu      sync.Mutex
	servers map[uint64]*sparfake.Server
	ending  map[uint64]bool // upstreams that a fault is about to end or to replace
	nextID  uint64
	blocked map[link]bool
}

// link is the network path from a VM to an upstream.
type link struct {
	vm netip.AddrPort
	id uint64
}

// newTestbed creates the fakes and starts the VMs.
func newTestbed(p Plan) (t *testbed, err error) {
	t = &testbed{
		plan: p, began: time.Now(), rng: newRand(p.Seed, 1), store: sparfake.NewStore(),
		domains: map[netip.AddrPort]string{}, vmClients: map[*vm]*sparfake.Client{}, faultLog: newFaultLog(),
		servers: map[uint64]*sparfake.Server{}, ending: map[uint64]bool{}, blocked: map[link]bool{},
	}
	t.checker = newChecker(t)
	t.storeServer = httptest.NewUnstartedServer(t.store)
	t.storeServer.Config.ErrorLog = nil
	t.storeServer.Start()
	defer func() {
		if err != nil {
			t.close()
		}
	}()
	if t.dir, err = os.MkdirTemp("", "sparsoak"); err != nil {
		return nil, errors.Trace(err)
	}
	if t.dataPort, t.controlPort, err = freePorts(); err != nil {
		return nil, err
	}
	t.operator.routes = []sparfake.Route{
		{At: repeatableRoute, Service: booking}, {At: onceRoute, Service: booking, Once: true}, {At: receiptsRoute, Service: receipts},
	}
	if p.Overload {
		t.operator.routes = append(t.operator.routes, orderRoutes()...)
	}
	t.operator.fixed = len(t.operator.routes)
	t.publish()
	for range p.Upstreams {
		if err = t.addServer(booking); err != nil {
			return nil, err
		}
	}
	for range max(p.Upstreams/3, 2) {
		if err = t.addServer(receipts); err != nil {
			return nil, err
		}
	}
	if p.Overload {
		if err = t.addOrderServers(); err != nil {
			return nil, err
		}
	}
	if err = t.startVMs(); err != nil {
		return nil, err
	}
	return t, t.startClients()
}

// freePorts returns two ports that are free on 127.0.0.1. They may be taken on other
// loopback addresses.
func freePorts() (data, control uint16, err error) {
	var ports [2]uint16
	for i := range ports {
		at, err := sparport.Free()
		if err != nil {
			return 0, 0, errors.Trace(err)
		}
		ports[i] = netip.MustParseAddrPort(at).Port()
	}
	return ports[0], ports[1], nil
}

func loopback(kind, n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, kind, n / 200, n%200 + 1}), port)
}

func (t *testbed) startVMs() (err error) {
	logs, err := t.plan.logDir()
	if err != nil {
		return errors.Trace(err)
	}
	var controls []string
	for n := range t.plan.VMs {
		controls = append(controls, loopback(71, byte(n), t.controlPort).String())
	}
	for n := range t.plan.VMs {
		v := &vm{testbed: t, name: fmt.Sprintf("vm-%d", n), data: loopback(71, byte(n), t.dataPort), control: controls[n]}
		v.ready = loopback(72, byte(n), t.dataPort).String()
		t.domains[v.data] = zoneOf(n)
		if v.proxy, err = newProxy(strings.TrimPrefix(t.storeServer.URL, "http://")); err != nil {
			return errors.Trace(err)
		}
		text := v.settings(v.control, v.proxy.address(), controls[:min(3, len(controls))])
		if err := v.writeSettings(t.dir, logs, text); err != nil {
			return err
		}
		t.vms = append(t.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	t.fabric = newFabric(t.vms)
	return nil
}

func (t *testbed) startClients() (err error) {
	for n := range 4 {
		c, err := sparfake.NewClient(loopback(73, byte(n), t.dataPort), t.fabric.route)
		if err != nil {
			return errors.Trace(err)
		}
		t.clients = append(t.clients, c)
	}
	for n, v := range t.vms {
		to := v.data
		c, err := sparfake.NewClient(loopback(74, byte(n), t.dataPort), func(uint64) (netip.AddrPort, bool) { return to, true })
		if err != nil {
			return errors.Trace(err)
		}
		t.vmClients[v] = c
	}
	return nil
}

// waitReady waits until all VMs are ready.
func (t *testbed) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyWait)
	for _, v := range t.vms {
		for !t.isReady(v) {
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready", v.name)
			}
			sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

func (t *testbed) isReady(v *vm) bool {
	r, err := http.Get("http://" + v.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// reportFault adds a fault to the report and to the progress output.
func (t *testbed) reportFault(format string, args ...any) {
	line := fmt.Sprintf("%7.3f %s", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
	t.checker.addFault(line)
	t.plan.Progress(line)
}

func (t *testbed) vmAt(data netip.AddrPort) *vm {
	for _, v := range t.vms {
		if v.data == data {
			return v
		}
	}
	return nil
}

// close stops everything that the testbed started.
func (t *testbed) close() {
	for _, v := range t.vms {
		v.kill()
		v.proxy.close()
	}
	for _, c := range t.clients {
		c.Close()
	}
	for _, c := range t.vmClients {
		c.Close()
	}
	for _, s := range t.servers {
		s.Close()
	}
	t.storeServer.CloseClientConnections()
	_ = os.RemoveAll(t.dir) // a leftover directory does no harm
}

func zoneOf(n int) string { return [...]string{"north", "south"}[n%2] }
