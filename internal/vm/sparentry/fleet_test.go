package sparentry_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

type (
	// fleet is a site with VMs, upstreams in two failure domains, and users who open flows through each
	// VM all the time. Each VM reaches the platform at an address of its own.
	fleet struct {
		*site
		vms   []*vm
		port  uint16 // of all clients, and of the data addresses of the VMs
		north string // key of the first upstream in north

		mu      sync.Mutex
		opened  []fleetOpening
		clients []*sparfake.Client
		refused map[int]bool // by VM
		read    int          // VM that read the position of the platform last
		fatal   string       // the first VM to read this ends
		died    int          // that VM, or -1
	}

	// fleetOpening is a SYN that an upstream has accepted.
	fleetOpening struct {
		sent, at time.Time
		vm       string // data address
		upstream *sparfake.Server
	}
)

// newFleet starts n VMs, an upstream in each failure domain and the users.
func newFleet(t *testing.T, n int, edit ...func(*sparconfig.File)) *fleet {
	f := &fleet{site: newSite(t), refused: map[int]bool{}, read: -1, died: -1}
	f.fake.Remove(f.key)
	f.port = netip.MustParseAddrPort(addr(t)).Port()
	f.edit = func(file *sparconfig.File) {
		file.Data, file.Domain = f.dataAddr(len(f.vms)).String(), "west" // near no upstream, so that it uses all
		for _, change := range edit {
			change(file)
		}
	}
	f.north, _ = f.upstream(1, "north", 0).Entry()
	f.upstream(2, "south", 0)
	for range n {
		f.start(true)
	}
	for _, v := range f.vms {
		eventually(t, "all VMs are in the settings", func() bool { return v.log.contains(fmt.Sprintf(`"vms":%d`, n)) })
	}
	eventually(t, "one VM reads, and both upstreams are in use", func() bool {
		return f.reader() >= 0 && len(f.openings("north", time.Time{})) > 0 && len(f.openings("south", time.Time{})) > 0
	})
	return f
}

func (f *fleet) dataAddr(vm int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 81, 0, byte(vm + 1)}), f.port)
}

// upstream starts an upstream with one slot and registers it.
func (f *fleet) upstream(id uint64, domain string, warm time.Duration) *sparfake.Server {
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 82, 0, byte(id)}), f.port)
	s, err := sparfake.NewServer(id, "booking", domain, at, f.port, 2*time.Millisecond, f)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Close)
	s.SetWarm(time.Now().Add(warm))
	f.fake.Put(s.Entry())
	return s
}

// start starts the next VM, with the platform or without, and its users.
func (f *fleet) start(platform bool, seeds ...string) *vm {
	n := len(f.vms)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.serve(n, w, r) }))
	f.t.Cleanup(server.Close)
	f.t.Cleanup(server.CloseClientConnections)
	f.store = strings.TrimPrefix(server.URL, "http://")
	f.refuse(n, !platform)
	v := f.site.start(fmt.Sprintf("vm-%d", n+1), seeds...)
	f.vms = append(f.vms, v)
	to := f.dataAddr(n)
	at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 83, 0, byte(n + 1)}), f.port)
	client, err := sparfake.NewClient(at, func(uint64) (netip.AddrPort, bool) { return to, true })
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.clients = append(f.clients, client)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var users conc.WaitGroup
	for range 3 {
		users.Go(func() { use(ctx, client) })
	}
	f.t.Cleanup(func() {
		cancel()
		users.Wait()
		client.Close()
	})
	return v
}

// use opens flows for one request each.
func use(ctx context.Context, client *sparfake.Client) {
	for n := 0; ctx.Err() == nil; n++ {
		if flow, err := client.Open(serviceAddr); err == nil {
			_, _ = flow.Do(fmt.Sprint("request ", n), 500*time.Millisecond) // the test looks at openings
			flow.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// serve passes a call of a VM to the platform.
func (f *fleet) serve(n int, w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	refused := f.refused[n]
	f.mu.Unlock()
	if refused {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	answer := httptest.NewRecorder()
	f.fake.ServeHTTP(answer, r)
	f.mu.Lock()
	f.read = n
	dies := f.died < 0 && f.fatal != "" && bytes.Contains(answer.Body.Bytes(), []byte(f.fatal))
	if dies {
		f.died, f.refused[n] = n, true
	}
	f.mu.Unlock()
	if dies {
		_ = f.vms[n].running.Pause(r.Context(), inForceWithin+2*settleTime) // stands in for its death
		return
	}
	for key, values := range answer.Header() {
		w.Header()[key] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // the VM may have given up
}

func (f *fleet) refuse(n int, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused[n] = on
}

// reader returns the VM that has called the platform last, or -1.
func (f *fleet) reader() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.read
}

// dead returns the VM that has died, or -1.
func (f *fleet) dead() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.died
}

// evacuate evacuates a domain and returns when the platform accepted that.
func (f *fleet) evacuate(domain string) time.Time {
	f.site.evacuate(domain)
	return time.Now()
}

// openings returns the openings in a domain since a moment.
func (f *fleet) openings(domain string, since time.Time) (list []fleetOpening) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.opened {
		if o.upstream.Zone == domain && o.at.After(since) {
			list = append(list, o)
		}
	}
	return list
}

func (f *fleet) openingsAt(s *sparfake.Server, since time.Time) (list []fleetOpening) {
	for _, o := range f.openings(s.Zone, since) {
		if o.upstream == s {
			list = append(list, o)
		}
	}
	return list
}

// Accepted implements sparfake.OpeningObserver.
func (f *fleet) Accepted(s *sparfake.Server, client sparflow.Endpoint, copied uint32, vm netip.AddrPort) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	sent := now
	for _, c := range f.clients {
		if at, ok := c.SentAt(client, copied); ok {
			sent = at
		}
	}
	f.opened = append(f.opened, fleetOpening{sent: sent, at: now, vm: vm.String(), upstream: s})
}

// Opened implements sparfake.Observer.
func (f *fleet) Opened(*sparfake.Server, sparflow.Endpoint, sparflow.Endpoint, netip.AddrPort) {}

// Ran implements sparfake.Observer.
func (f *fleet) Ran(*sparfake.Server, sparflow.Endpoint, string) {}

// UnknownFlow implements sparfake.Observer.
func (f *fleet) UnknownFlow(*sparfake.Server, sparflow.Endpoint, sparflow.Endpoint, netip.AddrPort) {}

// Blocked implements sparfake.Observer.
func (f *fleet) Blocked(*sparfake.Server, netip.AddrPort) bool { return false }
