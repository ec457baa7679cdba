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

// TestLoad checks that the load is scaled to all VMs of the failure domains heard.
func TestLoad(t *testing.T) {
	b := sparevidence.New(vmName(0), 1)
	var list []sparevidence.VM
	for n := range 20 {
		list = append(list, sparevidence.VM{Name: vmName(n), Domain: fmt.Sprint("domain-", n%2)})
	}
	b.SetVMs(list)
	b.SetUpstreams([]sparevidence.Upstream{{ID: 1, Service: service}})
	now := time.Minute
	b.Observe(now, sparevidence.Observations{Services: []sparevidence.ServiceObservation{{Service: service, Load: map[string]int{"domain-0": 5}}}})
	for n := 1; n < 4; n++ { // one more of the own domain, two of the other
		mustReceive(t, b, now, sparevidence.Report{From: vmName(n), Run: 1, Sent: now, Services: []sparevidence.ServiceEntry{
			{Service: service, Refused: 1, Load: []sparevidence.DomainLoad{{Domain: "domain-0", Requests: 2}, {Domain: "domain-1", Requests: 1}}},
		}})
	}
	got := b.Load(service, now+time.Second)
	if got.Requests != (5+3)*5+(3+3)*5 || got.VMs != 4 || got.Oldest != time.Second || got.Refused != 1*5+2*5 {
		t.Errorf("%+v, want 70 requests under way by 4 VMs", got)
	}
	if got := b.Load(service, now+3*time.Second); got.VMs != 1 {
		t.Errorf("%+v, want old reports left out", got)
	}
}
