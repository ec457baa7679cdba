package sparsoak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	booking  = "booking"
	receipts = "receipts"

	workTime   = 8 * time.Millisecond
	readyWait  = 10 * time.Second
	portTries  = 20
	extraRoute = 9000 // ports of routes that come and go
)

var (
	watchRoute = sparflow.MakeEndpoint(0xc6120001, 8443)
	holdRoute  = sparflow.MakeEndpoint(0xc6120001, 8080)
	sheetRoute = sparflow.MakeEndpoint(0xc6120002, 8443)
)

// world is a site on loopback with all its parties.
type world struct {
	plan     Plan
	dir      string
	began    time.Time
	dice     *dice
	store    *sparfake.Store
	server   *httptest.Server
	vms      []*vm
	domains  map[netip.AddrPort]string
	fabric   *fabric
	callers  []*sparfake.Caller
	testers  map[*vm]*sparfake.Caller
	trouble  *trouble
	checks   *checks
	port     uint16 // of callers and of the data sockets of VMs
	control  uint16
	operator operator

	mu      sync.Mutex
	servers map[uint64]*sparfake.Server
	nextID  uint64
	cuts    map[cut]bool
}

// cut says that packets of a VM do not reach an upstream.
type cut struct {
	vm netip.AddrPort
	id uint64
}

// newWorld makes a site and starts its VMs.
func newWorld(p Plan) (w *world, err error) {
	w = &world{
		plan: p, began: time.Now(), dice: newDice(p.Seed, 1), store: sparfake.NewStore(),
		domains: map[netip.AddrPort]string{}, testers: map[*vm]*sparfake.Caller{}, trouble: newTrouble(),
		servers: map[uint64]*sparfake.Server{}, cuts: map[cut]bool{},
	}
	w.checks = newChecks(w)
	w.server = httptest.NewUnstartedServer(w.store)
	w.server.Config.ErrorLog = nil
	w.server.Start()
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "sparsoak"); err != nil {
		return nil, errors.Trace(err)
	}
	if w.port, w.control, err = freePorts(); err != nil {
		return nil, err
	}
	w.operator.routes = []sparfake.Route{
		{At: watchRoute, Service: booking}, {At: holdRoute, Service: booking, Once: true}, {At: sheetRoute, Service: receipts},
	}
	w.publish()
	for range p.Upstreams {
		if err = w.addServer(booking); err != nil {
			return nil, err
		}
	}
	for range max(p.Upstreams/3, 2) {
		if err = w.addServer(receipts); err != nil {
			return nil, err
		}
	}
	if err = w.startVMs(); err != nil {
		return nil, err
	}
	return w, w.startCallers()
}

// freePorts returns two ports that are free on loopback, as far as one address tells.
func freePorts() (data, control uint16, err error) {
	var ports [2]uint16
	for i := range ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, 0, errors.Trace(err)
		}
		defer func() { _ = l.Close() }()
		ports[i] = netip.MustParseAddrPort(l.Addr().String()).Port()
	}
	return ports[0], ports[1], nil
}

func loopback(kind, n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, kind, n / 200, n%200 + 1}), port)
}

func (w *world) startVMs() (err error) {
	logs, err := w.plan.logDir()
	if err != nil {
		return errors.Trace(err)
	}
	var controls []string
	for n := range w.plan.VMs {
		controls = append(controls, loopback(71, byte(n), w.control).String())
	}
	for n := range w.plan.VMs {
		v := &vm{world: w, name: fmt.Sprintf("vm-%d", n), data: loopback(71, byte(n), w.port), control: controls[n]}
		v.ready = loopback(72, byte(n), w.port).String()
		w.domains[v.data] = zoneOf(n)
		if v.proxy, err = newProxy(strings.TrimPrefix(w.server.URL, "http://")); err != nil {
			return errors.Trace(err)
		}
		text := v.settings(v.control, v.proxy.address(), controls[:min(3, len(controls))])
		if err := v.writeSettings(w.dir, logs, text); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	w.fabric = newFabric(w.vms)
	return nil
}

func (w *world) startCallers() (err error) {
	for n := range 4 {
		c, err := sparfake.NewCaller(loopback(73, byte(n), w.port), w.fabric.route)
		if err != nil {
			return errors.Trace(err)
		}
		w.callers = append(w.callers, c)
	}
	for n, v := range w.vms {
		to := v.data
		c, err := sparfake.NewCaller(loopback(74, byte(n), w.port), func(uint64) (netip.AddrPort, bool) { return to, true })
		if err != nil {
			return errors.Trace(err)
		}
		w.testers[v] = c
	}
	return nil
}

// settleIn waits until every VM is ready.
func (w *world) settleIn(ctx context.Context) error {
	end := time.Now().Add(readyWait)
	for _, v := range w.vms {
		for !w.isReady(v) {
			if time.Now().After(end) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready", v.name)
			}
			sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

func (w *world) isReady(v *vm) bool {
	r, err := http.Get("http://" + v.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// addServer starts an upstream and lists it.
func (w *world) addServer(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var err error
	for range portTries {
		w.nextID++
		at := loopback(75, byte(w.nextID%200), 0)
		var l net.Listener
		if l, err = net.Listen("tcp4", at.String()); err != nil {
			continue
		}
		at = netip.MustParseAddrPort(l.Addr().String())
		_ = l.Close() // only its port was wanted
		var s *sparfake.Server
		if s, err = sparfake.NewServer(w.nextID<<8|w.plan.Seed&0xff, service, zoneOf(int(w.nextID)), at, w.port, workTime, w.checks); err != nil {
			continue
		}
		w.servers[s.ID] = s
		w.list(s)
		return nil
	}
	return errors.Annotate(err, "upstream")
}

// list writes the entry of an upstream, as the upstream itself would.
func (w *world) list(s *sparfake.Server) {
	key, value := s.Entry()
	w.store.Put(key, value)
}

// live returns the upstreams of a service that are neither draining nor ended.
func (w *world) live(service string) []*sparfake.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*sparfake.Server
	for id := uint64(0); id <= w.nextID; id++ {
		s := w.servers[id<<8|w.plan.Seed&0xff]
		if s != nil && s.Service == service && !s.Draining() {
			list = append(list, s)
		}
	}
	return list
}

// endServer ends an upstream and takes its entry away.
func (w *world) endServer(s *sparfake.Server) {
	w.mu.Lock()
	delete(w.servers, s.ID)
	w.mu.Unlock()
	key, _ := s.Entry()
	w.store.Remove(key)
	s.Close()
}

// note records a fault for the report.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%7.3f %s", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	w.checks.fault(line)
	w.plan.Progress(line)
}

func (w *world) vmAt(data netip.AddrPort) *vm {
	for _, v := range w.vms {
		if v.data == data {
			return v
		}
	}
	return nil
}

// close ends everything that was started.
func (w *world) close() {
	for _, v := range w.vms {
		v.end()
		v.proxy.close()
	}
	for _, c := range w.callers {
		c.Close()
	}
	for _, c := range w.testers {
		c.Close()
	}
	for _, s := range w.servers {
		s.Close()
	}
	w.server.CloseClientConnections()
	_ = os.RemoveAll(w.dir) // a leftover harms nobody
}

func zoneOf(n int) string { return [...]string{"north", "south"}[n%2] }
