package sparevidence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// TestPeers checks that each VM of a failure domain tells and hears equally many others.
func TestPeers(t *testing.T) {
	for _, size := range []int{1, 2, 16, 17, 24, 128} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			var list []sparevidence.VM
			for n := range 3 * size {
				list = append(list, sparevidence.VM{Name: vmName(n), Domain: fmt.Sprint("domain-", n%3)})
			}
			heard, load := map[string]int{}, map[string]int{}
			for _, vm := range list {
				b := sparevidence.New(vm.Name, 1)
				b.SetVMs(list)
				for _, name := range b.Peers(false) {
					heard[name]++
				}
				for _, name := range b.Peers(true) {
					load[name]++
				}
			}
			want := min(size-1, sparevidence.MaxPeers)
			for _, vm := range list {
				if heard[vm.Name] != want {
					t.Errorf("%s hears %d VMs, want %d", vm.Name, heard[vm.Name], want)
				}
				if most := want + 2*2*9; load[vm.Name] > most { // two of each other domain on average
					t.Errorf("%s hears the load of %d VMs, want at most %d", vm.Name, load[vm.Name], most)
				}
			}
		})
	}
}

// newLoadBoard returns the board of a VM with 5 requests under way, among 20 VMs in two failure domains.
func newLoadBoard(now time.Duration) *sparevidence.Board {
	b := sparevidence.New(vmName(0), 1)
	var list []sparevidence.VM
	for n := range 20 {
		list = append(list, sparevidence.VM{Name: vmName(n), Domain: fmt.Sprint("domain-", n%2)})
	}
	b.SetVMs(list)
	b.SetUpstreams([]sparevidence.Upstream{{ID: 1, Service: service}})
	b.Observe(now, sparevidence.Observations{Services: []sparevidence.ServiceObservation{{Service: service, Load: map[string]int{"domain-0": 5}}}})
	return b
}

// tellLoad lets a VM report requests under way.
func tellLoad(t *testing.T, b *sparevidence.Board, now time.Duration, vm, requests int) {
	t.Helper()
	mustReceive(t, b, now, sparevidence.Report{From: vmName(vm), Run: 1, Sent: now, Services: []sparevidence.ServiceEntry{
		{Service: service, Refused: 1, Load: []sparevidence.DomainLoad{{Domain: "domain-0", Requests: requests - 1}, {Domain: "domain-1", Requests: 1}}},
	}})
}

// TestLoad checks that the load is scaled to all VMs of the failure domains heard. All VMs of the own
// one and two of each other one report while the load is high: those that are silent have little.
func TestLoad(t *testing.T) {
	now := time.Minute
	b := newLoadBoard(now)
	for n := 1; n < 4; n++ { // one more of the own domain, two of the other
		tellLoad(t, b, now, n, 3)
	}
	got := b.Load(service, now+time.Second)
	if got.Requests != (5+3)+(3+3)*5 || got.VMs != 4 || got.Oldest != time.Second || got.Refused != 1+2*5 || got.Whole {
		t.Errorf("%+v, want 38 requests under way by 4 VMs", got)
	}
	if got := b.Load(service, now+3*time.Second); got.VMs != 1 {
		t.Errorf("%+v, want old reports left out", got)
	}
	for n := 4; n < 20; n += 2 { // the others of the own domain
		tellLoad(t, b, now, n, 3)
	}
	if got := b.Load(service, now+time.Second); got.Requests != 5+9*3+(3+3)*5 || got.VMs != 12 || !got.Whole {
		t.Errorf("%+v, want 62 requests under way by 12 VMs", got)
	}
}

// TestAbsurdLoad covers a VM that reports a thousand times its load, or nothing: the sum stays near
// that of the others.
func TestAbsurdLoad(t *testing.T) {
	for requests, most := range map[int]float64{3000: 5 + 8*3 + 3 + (3+3)*5, 1: 5 + 8*3 + 1 + (3+3)*5} {
		now := time.Minute
		b := newLoadBoard(now)
		for n := 1; n < 20; n++ {
			if n%2 == 0 || n < 4 {
				tellLoad(t, b, now, n, 3)
			}
		}
		tellLoad(t, b, now+time.Millisecond, 2, requests)
		if got := b.Load(service, now+time.Second); got.Requests > most || got.Requests < most/2 {
			t.Errorf("%.0f requests under way with a report of %d, want at most %.0f", got.Requests, requests, most)
		}
	}
}
