package sparsoak

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/platform"
)

const (
	probeEvery  = 500 * time.Millisecond
	probeMisses = 2
)

// fabric hands packets to the VMs in rotation, each flow to the same one as long as
// that stays.
type fabric struct {
	vms    []*vm
	client *http.Client

	mu     sync.Mutex
	misses map[*vm]int
}

func newFabric(vms []*vm) *fabric {
	return &fabric{vms: vms, client: &http.Client{Timeout: probeEvery}, misses: map[*vm]int{}}
}

// probe asks the VMs whether they take packets, twice a second.
func (f *fabric) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range f.vms {
			go f.ask(v)
		}
		sleep(ctx, probeEvery)
	}
}

func (f *fabric) ask(v *vm) {
	r, err := f.client.Get("http://" + v.ready + platform.ReadyPath)
	ready := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_ = r.Body.Close() // its status has been read
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses[v]++
	if ready {
		f.misses[v] = 0
	}
}

// rotation returns the VMs that get packets: all where fewer than half are ready.
func (f *fabric) rotation() []*vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*vm
	for _, v := range f.vms {
		if f.misses[v] < probeMisses {
			list = append(list, v)
		}
	}
	if 2*len(list) < len(f.vms) {
		return f.vms
	}
	return list
}

// route returns the VM for a flow.
func (f *fabric) route(flow uint64) (to netip.AddrPort, ok bool) {
	list := f.rotation()
	names := make([]uint64, len(list))
	for i, v := range list {
		names[i] = sparrank.Name(v.name)
	}
	best := sparrank.Best(int(flow>>1), names, func(int) bool { return true })
	if best < 0 {
		return netip.AddrPort{}, false
	}
	return list[best].data, true
}
