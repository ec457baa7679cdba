package sparentry_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/log/sparlog"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparport"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparentry"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const timeout = 5 * time.Second

var serviceAddr = sparflow.MakeEndpoint(0xc6120001, 8080) // 198.18.0.1:8080

type (
	// site is a platform, VMs and one upstream, all on loopback.
	site struct {
		t        *testing.T
		fake     *sparfake.Store
		store    string // address of the fake platform
		upstream *net.UDPConn
		key      string                                // of the upstream's entry in the platform
		grace    sparconfig.Figure                     // seconds; for VMs started later
		hedge    sparconfig.Figure                     // share of openings; for VMs started later
		wrap     func(sparentry.Store) sparentry.Store // for VMs started later, nil for none
		edit     func(*sparconfig.File)                // of VMs started later, nil for none
	}

	// vm is one running VM.
	vm struct {
		site    *site
		running *sparentry.VM
		file    sparconfig.File
		store   *platform.Store
		log     *logBuffer
		reload  chan sparconfig.File
		stop    func()
		done    chan error
	}

	// logBuffer holds the log of a VM for tests to search.
	logBuffer struct {
		mu   sync.Mutex
		text bytes.Buffer
	}
)

func (l *logBuffer) Write(b []byte) (n int, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// find returns the fields of the first line with a message. ok is false if there is none.
func (l *logBuffer) find(message string) (fields map[string]any, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range strings.Split(l.text.String(), "\n") {
		if strings.Contains(line, `"msg":"`+message+`"`) {
			return fields, json.Unmarshal([]byte(line), &fields) == nil
		}
	}
	return nil, false
}

// lines returns the lines of the log.
func (l *logBuffer) lines() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Split(l.text.String(), "\n")
}

// contains reports whether the log contains text.
func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

func newSite(t *testing.T) *site {
	fake := sparfake.NewStore()
	server := httptest.NewServer(fake)
	t.Cleanup(server.CloseClientConnections)
	upstream, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = upstream.Close() })
	s := &site{t: t, fake: fake, store: strings.TrimPrefix(server.URL, "http://"), upstream: upstream, grace: 1}
	s.route(3)
	key, entry := sparfake.Entry(0x7f3a, "booking", "north", upstream.LocalAddr().String(), false, time.Now())
	s.key = key
	fake.Put(key, entry)
	return s
}

// route writes the operator's configuration with one route.
func (s *site) route(version uint64) {
	s.fake.Put(sparfake.RoutingKey, sparfake.Routing(version, []sparfake.Route{{At: serviceAddr, Service: "booking"}}))
}

// addr returns a loopback address whose port is free for TCP and for UDP.
func addr(t *testing.T) string {
	t.Helper()
	at, err := sparport.Free()
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// start runs a VM with a free control address until the test ends.
func (s *site) start(name string, seeds ...string) *vm { return s.startAt(name, addr(s.t), seeds...) }

// startAt runs a VM at a control address until the test ends.
func (s *site) startAt(name, control string, seeds ...string) *vm {
	file := sparconfig.File{
		Carrier: sparconfig.Cookie, Name: name, Domain: "north", Data: addr(s.t), Control: control, Ready: addr(s.t),
		Platform: s.store, Seeds: seeds, Log: "json", Flows: 1000, Force: 3000, Grace: s.grace,
		Hedge: s.hedge,
	}
	if s.edit != nil {
		s.edit(&file)
	}
	v := &vm{site: s, file: file, store: platform.NewStore(s.store), log: &logBuffer{}, reload: make(chan sparconfig.File, 1), done: make(chan error, 1)}
	client := sparentry.Store(v.store)
	if s.wrap != nil {
		client = s.wrap(client)
	}
	running, err := sparentry.New(file, client, sparlog.New(v.log, "json", logrus.InfoLevel, sparlog.FlowBurst))
	if err != nil {
		s.t.Fatal(err)
	}
	v.running = running
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() { v.done <- running.Run(ctx, v.reload) }()
	s.t.Cleanup(func() {
		cancel()
		select {
		case <-v.done:
		case <-time.After(timeout):
			s.t.Error("the VM did not stop")
		}
	})
	return v
}

func (v *vm) ready() bool {
	r, err := http.Get("http://" + v.file.Ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// eventually waits until holds returns true and fails the test after timeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// syn returns a SYN from a client on loopback to an address.
func syn(to sparflow.Endpoint) []byte {
	b := make([]byte, platform.HeaderBytes)
	binary.BigEndian.PutUint32(b[4:], to.IP())
	binary.BigEndian.PutUint16(b[8:], 40001)
	binary.BigEndian.PutUint16(b[10:], to.Port())
	binary.BigEndian.PutUint32(b[12:], 0x7f000001)
	b[30] = 4
	return b
}

func (v *vm) send(b []byte) {
	conn, err := net.Dial("udp4", v.file.Data)
	if err != nil {
		v.site.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(b); err != nil {
		v.site.t.Fatal(err)
	}
}

// receive returns the next datagram sent to the upstream.
func (s *site) receive() []byte {
	s.t.Helper()
	b := make([]byte, 2000)
	_ = s.upstream.SetReadDeadline(time.Now().Add(timeout))
	n, err := s.upstream.Read(b)
	if err != nil {
		s.t.Fatal(err)
	}
	return b[:n]
}
