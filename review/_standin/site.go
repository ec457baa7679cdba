package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	program = "target/sparentry" // of the deploy file, relative to the root of the repository

	// Bounds of the site, as in its settings.
	applyBound = 3000 * time.Millisecond
	drainBound = 3000 * time.Millisecond
	beat       = 1200 * time.Millisecond
	graceTime  = 6 // seconds

	readyTimeout = 10 * time.Second
	exitTimeout  = 8 * time.Second
	// touchTime is the time without disruption after which a VM is in touch.
	touchTime = 4 * time.Second
)

var (
	bookingRoute = sparflow.MakeEndpoint(0xc6120001, 8080)
	sheetRoute   = sparflow.MakeEndpoint(0xc6120002, 8443)
)

type (
	// site is a small deployment on loopback: a store, VMs as processes, servers and clients.
	site struct {
		dir   string
		began time.Time
		store *sparfake.Store
		web   []*http.Server // of the store, one for each VM
		calls chan call
		port  uint16 // of data sockets and clients
		ctrl  uint16
		vms   []*vm

		bound   time.Duration // for changes of the configuration
		bitRate int           // of the link from each VM to the store, 0 for no limit
		version uint64
		routes  []sparfake.Route
		clients byte

		mu       sync.Mutex
		record   io.Writer
		servers  []*sparfake.Server
		openings []opening
		runs     []run
		broken   []string
	}

	// vm is one entry VM, a process of its own.
	vm struct {
		site  *site
		name  string
		file  string
		zone  string
		data  netip.AddrPort
		ready string
		ctrl  string
		force any    // value of the setting force
		store string // address at which the store serves this VM
		grace any

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{}
		log    *os.File
	}

	// call is a call of a VM to the store.
	call struct {
		vm *vm
		at time.Time
	}

	// opening is a flow that a server accepted.
	opening struct {
		server        *sparfake.Server
		client, route sparflow.Endpoint
		vm            netip.AddrPort
		at            time.Time
	}

	// run is a request that a server began to run.
	run struct {
		server  *sparfake.Server
		route   sparflow.Endpoint
		request string
		at      time.Time
	}
)

func loopback(kind, n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, kind, 0, n + 1}), port)
}

// newSite starts the store. The VMs and servers follow.
func newSite(record io.Writer) (s *site, err error) {
	s = &site{began: time.Now(), store: sparfake.NewStore(), calls: make(chan call, 1), bound: applyBound, record: record}
	if s.dir, err = os.MkdirTemp(os.Getenv("KEEP"), "review"); err != nil {
		return nil, err
	}
	if s.port, s.ctrl, err = freePorts(); err != nil {
		return nil, err
	}
	s.routes = []sparfake.Route{{At: bookingRoute, Service: "booking", Once: true}, {At: sheetRoute, Service: "sheets"}}
	s.publish()
	go s.beat()
	return s, nil
}

func freePorts() (a, b uint16, err error) {
	var ports [2]uint16
	for i := range ports {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, 0, err
		}
		defer func() { _ = l.Close() }()
		ports[i] = netip.MustParseAddrPort(l.Addr().String()).Port()
	}
	return ports[0], ports[1], nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// violated notes that the rule of the case was broken.
func (s *site) violated(format string, args ...any) {
	s.note("BROKEN "+format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// publish writes the operator's configuration in its next version.
func (s *site) publish() {
	s.version += 3
	text := configuration(s.version, s.routes)
	s.store.Put(sparfake.RoutingKey, text)
	s.note("operator: version %d with %d routes and %d bytes acknowledged", s.version, len(s.routes), len(text))
}

// addServer starts a server and registers it.
func (s *site) addServer(id uint64, service, zone string, work time.Duration) (*sparfake.Server, error) {
	for n := byte(0); n < 50; n++ {
		ip := byte(id%200) + n
		l, err := net.Listen("tcp4", loopback(83, ip, 0).String())
		if err != nil {
			continue
		}
		at := netip.MustParseAddrPort(l.Addr().String())
		_ = l.Close()
		server, err := sparfake.NewServer(id, service, zone, at, s.port, work, s)
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.servers = append(s.servers, server)
		s.mu.Unlock()
		s.register(server)
		return server, nil
	}
	return nil, fmt.Errorf("no address for server %x", id)
}

// register writes the entry of a server and returns the time of the acknowledgement.
func (s *site) register(server *sparfake.Server) time.Time {
	key, value := server.Entry()
	s.store.Put(key, value)
	s.note("server %x: entry %s", server.ID, value)
	return time.Now()
}

// foreignWrite replaces the entry of a server, as a writer other than the server does.
func (s *site) foreignWrite(server *sparfake.Server, text string) {
	key, _ := server.Entry()
	s.store.Put(key, []byte(text))
	s.note("another writer: %s = %q", key, text)
}

// waitBeat waits until the servers have just sent their heartbeats.
func (s *site) waitBeat() {
	time.Sleep(beat - time.Since(s.began)%beat + 50*time.Millisecond)
}

// beat lets the servers send heartbeats. An entry changes when more than its sequence does.
func (s *site) beat() {
	for range time.Tick(beat) {
		s.mu.Lock()
		servers := append([]*sparfake.Server{}, s.servers...)
		s.mu.Unlock()
		for _, server := range servers {
			key, value := server.Entry()
			if held, _ := s.store.Get(key); string(held) != string(value) {
				s.register(server)
			}
		}
	}
}

// addVM adds a VM. startVMs starts it.
func (s *site) addVM(name, zone string) *vm {
	n := byte(len(s.vms))
	v := &vm{
		site: s, name: name, zone: zone, data: loopback(81, n, s.port), ctrl: loopback(81, n, s.ctrl).String(),
		ready: loopback(82, n, s.ctrl).String(), force: s.bound.Milliseconds(), grace: graceTime,
	}
	v.file = filepath.Join(s.dir, name+".json")
	s.vms = append(s.vms, v)
	return v
}

// serveStore serves a VM at an address of its own, to tell which VM calls.
func (s *site) serveStore(v *vm) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.calls <- call{v, time.Now()}:
		default: // nobody waits for a call
		}
		s.store.ServeHTTP(w, r)
	})}
	v.store, s.web = listener.Addr().String(), append(s.web, server)
	go func() { _ = server.Serve(listener) }()
	if s.bitRate == 0 {
		return nil
	}
	l, err := newLink(v.store, s.bitRate)
	if err != nil {
		return err
	}
	v.store = l.listener.Addr().String()
	return nil
}

// nextCall waits for the next call of any VM to the store.
func (s *site) nextCall() (c call, ok bool) {
	select {
	case <-s.calls: // an earlier one
	default:
	}
	select {
	case c = <-s.calls:
		return c, true
	case <-time.After(applyBound):
		return call{}, false
	}
}

// startVMs starts all VMs and waits until they are ready.
func (s *site) startVMs() error {
	for _, v := range s.vms {
		if err := s.serveStore(v); err != nil {
			return err
		}
		if err := v.writeSettings(); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	for _, v := range s.vms {
		if !v.waitReady(readyTimeout) {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	s.note("all VMs are ready")
	return nil
}

// writeSettings writes the settings file as the template of the deploy file gives it.
func (v *vm) writeSettings() error {
	var seeds []string
	for _, other := range v.site.vms[:min(3, len(v.site.vms))] {
		seeds = append(seeds, other.ctrl)
	}
	text, err := json.MarshalIndent(map[string]any{
		"carrier": "cookie", "name": v.name, "domain": v.zone, "data": v.data.String(), "ready": v.ready, "control": v.ctrl,
		"platform": v.store, "seeds": seeds, "force": v.force, "grace": v.grace, "beat": beat.Milliseconds(),
		"log": "json", "flows": 100000,
	}, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(v.file, text, 0o644)
}

func (v *vm) start() (err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.site.dir, v.name+".log")); err != nil {
			return err
		}
	}
	cmd := exec.Command(program, v.file)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.cmd, v.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		v.site.note("%s: its process has ended: %v", v.name, err)
		close(exited)
	}()
	return nil
}

func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.site.note("%s: %v", v.name, sig)
	_ = v.cmd.Process.Signal(sig) // it may have ended
}

func (v *vm) waitExit(within time.Duration) bool {
	select {
	case <-v.exited:
		return true
	case <-time.After(within):
		return false
	}
}

func (v *vm) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + v.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (v *vm) waitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if v.isReady() {
			return true
		}
	}
	return false
}

// newClient returns a client whose packets all go to one VM.
func (s *site) newClient(v *vm) (*sparfake.Client, error) {
	s.clients++
	return sparfake.NewClient(loopback(84, s.clients, s.port), func(uint64) (netip.AddrPort, bool) { return v.data, true })
}

// close ends all processes that the case started.
func (s *site) close() {
	for _, v := range s.vms {
		if v.cmd == nil {
			continue
		}
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Signal(syscall.SIGKILL)
		v.waitExit(exitTimeout)
		_ = v.log.Close()
	}
	for _, server := range s.web {
		_ = server.Close()
	}
	if os.Getenv("KEEP") == "" { // otherwise the settings and logs of the VMs stay
		_ = os.RemoveAll(s.dir)
	}
}

// Opened implements sparfake.Observer.
func (s *site) Opened(server *sparfake.Server, client, route sparflow.Endpoint, at netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openings = append(s.openings, opening{server, client, route, at, time.Now()})
}

// Ran implements sparfake.Observer.
func (s *site) Ran(server *sparfake.Server, route sparflow.Endpoint, request string) {
	s.mu.Lock()
	s.runs = append(s.runs, run{server, route, request, time.Now()})
	s.mu.Unlock()
	s.note("server %x (%s): runs %q of route %s", server.ID, server.Service, request, route)
}

// UnknownFlow implements sparfake.Observer.
func (s *site) UnknownFlow(server *sparfake.Server, client, route sparflow.Endpoint, at netip.AddrPort) {
	s.note("server %x: packet of an unknown flow of %s from %s, reset", server.ID, client, at)
}

// Blocked implements sparfake.Observer.
func (s *site) Blocked(*sparfake.Server, netip.AddrPort) bool { return false }

// opened reports whether a server has accepted a flow of the client.
func (s *site) opened(server *sparfake.Server, client sparflow.Endpoint) bool {
	for _, o := range s.openingsAt(server) {
		if o.client == client {
			return true
		}
	}
	return false
}

// runsAt returns the requests that a server has begun to run.
func (s *site) runsAt(server *sparfake.Server) []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []run
	for _, r := range s.runs {
		if r.server == server {
			list = append(list, r)
		}
	}
	return list
}

// openingsAt returns the flows that a server has accepted.
func (s *site) openingsAt(server *sparfake.Server) []opening {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []opening
	for _, o := range s.openings {
		if o.server == server {
			list = append(list, o)
		}
	}
	return list
}
