package sparevidence_test

import (
	"testing"
	"time"
)

// newBusyFleet returns 16 VMs and 10 upstreams with new flows and requests on open flows.
func newBusyFleet(t *testing.T) *fleet {
	f := newFleet(t, 16, 10, 60)
	f.openRate = 100
	f.run(10 * time.Second)
	return f
}

// first makes upstream 1 behave in its own way, as seen by each VM, and the others answer.
func (f *fleet) first(behave func(vm int) outcome) {
	f.behave = func(vm int, id uint64) outcome {
		if id == 1 {
			return behave(vm)
		}
		return answered
	}
}

// wantGone checks how many VMs take upstream 1 to be gone. No other may be.
func (f *fleet) wantGone(least, most int) {
	f.t.Helper()
	n := 0
	for _, m := range f.vms {
		for id, gone := range m.gone {
			if gone && id != 1 {
				f.t.Errorf("upstream %d is gone for %s", id, vmName(m.index))
			}
		}
		if m.gone[1] {
			n++
		}
	}
	if n < least || n > most {
		f.t.Errorf("gone for %d VMs, want %d to %d", n, least, most)
	}
}

// TestCrashIsGone covers a crash without a trace, among requests that wait on open flows, and the
// return of the upstream.
func TestCrashIsGone(t *testing.T) {
	f := newBusyFleet(t)
	f.first(func(int) outcome { return silent })
	f.run(noticed + 2*time.Second)
	f.wantGone(len(f.vms), len(f.vms))
	f.first(func(int) outcome { return answered })
	f.run(5 * time.Second)
	f.wantGone(0, 0)
}

// TestNotGone covers upstreams that fail for several VMs, or for all, and still run: their flows must
// not be reset.
func TestNotGone(t *testing.T) {
	for _, c := range []struct {
		name   string
		behave func(f *fleet, vm int) outcome
	}{
		{"opens flows and answers nothing", func(*fleet, int) outcome { return mute }},
		{"slow", func(*fleet, int) outcome { return slow }},
		{"answers one in ten", func(f *fleet, _ int) outcome {
			if f.random.IntN(10) == 0 {
				return answered
			}
			return silent
		}},
		{"a third of the VMs reach it", func(_ *fleet, vm int) outcome {
			if vm%3 == 0 {
				return answered
			}
			return silent
		}},
		{"half of the VMs reach it", func(_ *fleet, vm int) outcome {
			if vm%2 == 0 {
				return answered
			}
			return silent
		}},
		{"one VM is sick", func(_ *fleet, vm int) outcome {
			if vm == 3 {
				return silent
			}
			return answered
		}},
		{"two VMs lost the path", func(_ *fleet, vm int) outcome {
			if vm < 2 {
				return silent
			}
			return answered
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newBusyFleet(t)
			f.first(func(vm int) outcome { return c.behave(f, vm) })
			for range 40 {
				f.run(500 * time.Millisecond)
				f.wantGone(0, 0)
			}
		})
	}
}

// TestGoneNeedsReports cuts the links between the VMs: what each of them sees alone is not enough.
func TestGoneNeedsReports(t *testing.T) {
	f := newBusyFleet(t)
	f.cut = func(int, int) bool { return true }
	f.first(func(int) outcome { return silent })
	f.run(20 * time.Second)
	f.wantGone(0, 0)
}
