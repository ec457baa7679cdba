package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// Settings of the deployment, as in the users' pages.
const (
	heartbeat    = 1200 * time.Millisecond
	stableWindow = 4 * time.Second
	rollback     = 250 * time.Millisecond
	probeEvery   = 500 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
	probeMisses  = 2
	readyWait    = 15 * time.Second

	program  = "target/sparentry"
	template = "deploy/settings.json"
)

type (
	// rig is a small deployment on loopback addresses: the platform's store, VMs, a fabric,
	// servers and clients.
	rig struct {
		began  time.Time
		dir    string
		port   uint16 // of the packets of VMs and of all clients
		store  *sparfake.Store
		http   *http.Server
		vms    []*machine
		record *record

		mu      sync.Mutex
		servers []*server
		stop    context.CancelFunc
		ctx     context.Context
	}

	// machine is one VM process.
	machine struct {
		name           string
		data           netip.AddrPort
		control, ready string
		cmd            *exec.Cmd
		misses         int // guarded by mu of the rig
	}

	// record is the file record.txt.
	record struct {
		mu    sync.Mutex
		file  *os.File
		began time.Time
	}
)

// running is the rig of the case that is played.
var running *rig

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// newRig starts the store and the VMs and waits until all of them are ready.
func newRig(path string, vms int, zones []string, document []byte) (r *rig, err error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r = &rig{began: time.Now(), store: sparfake.NewStore()}
	running = r
	r.record = &record{file: file, began: r.began}
	r.ctx, r.stop = context.WithCancel(context.Background())
	if r.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if r.port, err = freePort(); err != nil {
		return nil, err
	}
	r.store.Put(sparfake.RoutingKey, document)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.http = &http.Server{Handler: r.store}
	go func() { _ = r.http.Serve(listener) }()
	control, err := freePort()
	if err != nil {
		return nil, err
	}
	var seeds []string
	for n := range vms {
		m := &machine{
			name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n+1), data: loopback(71, n, r.port),
			control: loopback(75, n, control).String(), ready: loopback(72, n, control).String(),
		}
		r.vms = append(r.vms, m)
		if n < 3 {
			seeds = append(seeds, m.control)
		}
	}
	for n, m := range r.vms {
		if err := r.startVM(m, zones[n%len(zones)], listener.Addr().String(), seeds); err != nil {
			return r, err
		}
	}
	return r, r.waitReady()
}

// startVM starts the program of the deploy file with settings from its template.
func (r *rig) startVM(m *machine, zone, store string, seeds []string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, m.name+".json")
	if err := os.WriteFile(path, fill(text, m, zone, store, seeds), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.dir, m.name+".log"))
	if err != nil {
		return err
	}
	m.cmd = exec.Command(program, path)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	r.record.printf("start %s, packets at %s", m.name, m.data)
	return m.cmd.Start()
}

// fill fills in the template of the deploy file with settings of a small deployment.
func fill(text []byte, m *machine, zone, store string, seeds []string) []byte {
	quoted := func(s string) string { b, _ := json.Marshal(s); return string(b) }
	var list []string
	for _, s := range seeds {
		list = append(list, quoted(s))
	}
	out := strings.NewReplacer(
		"{{node_name|json}}", quoted(m.name), "{{zone|json}}", quoted(zone),
		"{{listen_addrs.datagram_addr|json}}", quoted(m.data.String()), "{{listen_addrs.readiness_addr|json}}", quoted(m.ready),
		"{{listen_addrs.control_plane|json}}", quoted(m.control), "{{platform.address|json}}", quoted(store),
		"{{#seeds}}{{.|json}}{{,}}{{/seeds}}", strings.Join(list, ","),
		"{{bounds.config_apply_ms|json}}", "3000", "{{bounds.grace_s|json}}", "6", "{{heartbeat_ms|json}}", "1200",
		"{{limits.cpu_share|json}}", "0.4", "{{limits.cores|json}}", "1", "{{limits.link_mbps|json}}", "1000",
		"{{#bounds.config_apply_ms}}", "", "{{/bounds.config_apply_ms}}", "", "{{#bounds.grace_s}}", "", "{{/bounds.grace_s}}", "",
		"{{#heartbeat_ms}}", "", "{{/heartbeat_ms}}", "", "{{#limits.cpu_share}}", "", "{{/limits.cpu_share}}", "",
		"{{#limits.cores}}", "", "{{/limits.cores}}", "", "{{#limits.link_mbps}}", "", "{{/limits.link_mbps}}", "",
	).Replace(string(text))
	var kept [][]byte
	for _, line := range bytes.Split([]byte(out), []byte("\n")) {
		if !bytes.Contains(line, []byte("{{")) { // a bound that this deployment does not have
			kept = append(kept, line)
		}
	}
	return bytes.Join(kept, []byte("\n"))
}

func (r *rig) waitReady() error {
	end := time.Now().Add(readyWait)
	for _, m := range r.vms {
		for !m.answersReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

var prober = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (m *machine) answersReady() bool {
	reply, err := prober.Get("http://" + m.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = reply.Body.Close()
	return reply.StatusCode == http.StatusOK
}

// probe sends readiness probes twice a second, as the fabric does. All VMs of a case are in one zone.
func (r *rig) probe() {
	for _, m := range r.vms {
		go func() {
			ticker := time.NewTicker(probeEvery)
			defer ticker.Stop()
			for r.ctx.Err() == nil {
				go r.probeOnce(m)
				<-ticker.C
			}
		}()
	}
}

func (r *rig) probeOnce(m *machine) {
	ok := m.answersReady()
	r.mu.Lock()
	defer r.mu.Unlock()
	before := m.misses
	m.misses++
	if ok {
		m.misses = 0
	}
	switch {
	case before < probeMisses && m.misses >= probeMisses:
		r.record.printf("fabric: %s out of rotation", m.name)
	case before >= probeMisses && m.misses < probeMisses:
		r.record.printf("fabric: %s back in rotation", m.name)
	}
}

// route returns the VM for a flow: by rendezvous hashing (steady) over the VMs in rotation.
func (r *rig) route(flow uint64) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*machine
	for _, m := range r.vms {
		if m.misses < probeMisses {
			list = append(list, m)
		}
	}
	if 2*len(list) < len(r.vms) {
		list = r.vms
	}
	names := make([]uint64, len(list))
	for i, m := range list {
		names[i] = sparrank.Hash(m.name)
	}
	return list[sparrank.Best(int(flow>>1), names, func(int) bool { return true })]
}

// machineAt returns the VM that sends packets from an address, or nil.
func (r *rig) machineAt(at netip.AddrPort) *machine {
	for _, m := range r.vms {
		if m.data == at {
			return m
		}
	}
	return nil
}

// register writes the entry of a server now, and again when the entry changes.
func (r *rig) register(s *server) {
	key, value := sparfake.Entry(s.id, s.service, s.zone, s.at.String(), false, s.born)
	r.store.Put(key, value)
}

// close ends all processes that the rig has started, keeps the logs of VMs if asked, and removes
// its folder.
func (r *rig) close() {
	r.stop()
	for _, m := range r.vms {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
	}
	for _, s := range r.servers {
		_ = s.conn.Close()
		_ = s.tcp.Close()
	}
	_ = r.http.Close()
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(r.dir))
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.file.Close()
}

func loopback(net byte, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, net, byte(n >> 8), byte(n%256 + 1)}), port)
}

// freePort returns a port that is free for UDP and TCP.
func freePort() (port uint16, err error) {
	for range 50 {
		tcp, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port = tcp.Addr().(*net.TCPAddr).AddrPort().Port()
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4zero, Port: int(port)})
		_ = tcp.Close()
		if err == nil {
			_ = udp.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// serverAt returns the server at an address, or nil.
func (r *rig) serverAt(at netip.AddrPort) *server {
	for _, s := range r.servers {
		if s.at == at {
			return s
		}
	}
	return nil
}
