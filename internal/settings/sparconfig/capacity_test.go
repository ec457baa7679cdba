package sparconfig_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// TestClasses checks the class of VMs that differ by 6 in processor and by 20 in link, and that
// what a VM has least of decides.
func TestClasses(t *testing.T) {
	for _, c := range []struct {
		cores, link float64
		want        int
	}{
		{0.13, 10, 2}, {0.13, 200, 2}, {0.78, 10, 2}, {0.78, 200, 4}, {0.78, 40, 4}, {4, 1000, 7},
		{0.01, 1, 1}, {0, 100, 0}, {1, 0, 0}, {0, 0, 0}, {-1, 10, 0}, {math.NaN(), 10, 0},
		{math.Inf(1), math.Inf(1), sparconfig.MaxSize}, {4096, 10_000_000, 17},
	} {
		t.Run(fmt.Sprintf("%g cores, %g Mbit/s", c.cores, c.link), func(t *testing.T) {
			if got := (sparconfig.Capacity{Cores: c.cores, Link: c.link}).Class(); got != c.want {
				t.Errorf("class %d, want %d", got, c.want)
			}
		})
	}
}

// TestSizeInEntry checks that the entry of a VM has the class of its settings, none where they
// don't tell, and that a class out of range counts as unknown.
func TestSizeInEntry(t *testing.T) {
	for _, c := range []struct {
		name string
		file sparconfig.File
		want int
	}{
		{"cookie", sparconfig.File{Carrier: sparconfig.Cookie, CPU: 0.13, Cores: 6, Link: 200}, 4},
		{"no link", sparconfig.File{Carrier: sparconfig.Cookie, CPU: 0.13, Cores: 6}, 0},
		{"geneve", sparconfig.File{Carrier: sparconfig.Geneve, CPU: 0.13, Cores: 6, Link: 200}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.file.Data, c.file.Control = "10.0.0.1:1", "10.0.0.1:2"
			vm, err := sparconfig.ParseVM("vm-1", c.file.VM().Text())
			if err != nil || vm.Size != c.want || vm.Class() != c.want {
				t.Errorf("size %d, class %d, error %v, want %d", vm.Size, vm.Class(), err, c.want)
			}
		})
	}
	for _, size := range []int{-1, sparconfig.MaxSize + 1, math.MaxInt} {
		if got := (sparconfig.VM{Size: size}).Class(); got != 0 {
			t.Errorf("size %d: class %d, want 0", size, got)
		}
	}
}
