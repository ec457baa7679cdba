package sparevidence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestRandomCuts covers cuts between VMs and upstreams at random, which change every few seconds, with
// some packets lost: no VM ejects an upstream that has answered it in the last second.
func TestRandomCuts(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, 16, 10, []float64{20, 100, 400}[seed%3])
			f.random = rand.New(rand.NewPCG(seed, 5))
			lost := map[[2]int]outcome{}
			f.behave = func(vm int, id uint64) outcome {
				if f.random.IntN(50) == 0 {
					return silent
				}
				return lost[[2]int{vm, int(id)}]
			}
			f.run(3 * time.Second)
			for range 10 {
				f.drawCuts(lost)
				for end := f.now + time.Duration(1+f.random.IntN(4))*time.Second; f.now < end; {
					f.run(step)
					f.wantNoneEjectedHere()
				}
			}
		})
	}
}

// drawCuts draws who reaches whom: each upstream is lost to a share of the VMs, in one of two ways.
func (f *fleet) drawCuts(lost map[[2]int]outcome) {
	clear(lost)
	for _, u := range f.upstreams {
		share, how := f.random.Float64(), []outcome{mute, silent}[f.random.IntN(2)]
		if f.random.IntN(2) == 0 {
			continue // reached by all
		}
		for vm := range f.vms {
			if f.random.Float64() < share {
				lost[[2]int{vm, int(u.ID)}] = how
			}
		}
	}
}

// wantNoneEjectedHere fails if a VM has ejected an upstream that has answered it in the last second.
func (f *fleet) wantNoneEjectedHere() {
	f.t.Helper()
	for _, m := range f.vms {
		for id, at := range m.answers {
			if f.now-at < time.Second && m.weight(id) == 0 {
				f.t.Fatalf("VM %d has ejected upstream %d, which answered it %v ago", m.index, id, f.now-at)
			}
		}
	}
}
