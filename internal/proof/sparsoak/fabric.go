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
	probeMisses = 2 // consecutive failed probes that take a VM out of rotation
)

// fabric assigns each flow to a VM in rotation, which its readiness probes decide. A flow
// stays on one VM as long as that VM stays in rotation.
type fabric struct {
	vms    []*vm
	client *http.Client

	mu     sync.Mutex
	misses map[*vm]int
}

func newFabric(vms []*vm) *fabric {
	return &fabric{vms: vms, client: &http.Client{Timeout: probeEvery}, misses: map[*vm]int{}}
}

// probe sends readiness probes to all VMs, twice a second.
func (f *fabric) probe(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range f.vms {
			go f.probeVM(v)
		}
		sleep(ctx, probeEvery)
	}
}

func (f *fabric) probeVM(v *vm) {
	r, err := f.client.Get("http://" + v.ready + platform.ReadyPath)
	ready := err == nil && r.StatusCode == http.StatusOK
	if err == nil {
		_ = r.Body.Close() // only the status is needed
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses[v]++
	if ready {
		f.misses[v] = 0
	}
}

// rotation returns the VMs that receive packets: those whose last probeMisses probes did
// not all fail, or all VMs if these are fewer than half.
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

// route returns the data address of the VM for a flow, by rendezvous hashing.
func (f *fabric) route(flow uint64) (to netip.AddrPort, ok bool) {
	list := f.rotation()
	names := make([]uint64, len(list))
	for i, v := range list {
		names[i] = sparrank.Hash(v.name)
	}
	best := sparrank.Best(int(flow>>1), names, func(int) bool { return true })
	if best < 0 {
		return netip.AddrPort{}, false
	}
	return list[best].data, true
}
