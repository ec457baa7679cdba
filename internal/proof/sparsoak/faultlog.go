package sparsoak

import (
	"sync"
	"time"
)

// faultLog records when each party last had a fault. A party is the name of a VM, the
// address of an upstream, or the store.
type faultLog struct {
	mu   sync.Mutex
	all  time.Time
	last map[string]time.Time
	open map[string]int // number of current faults
}

const storeParty = "store"

func newFaultLog() *faultLog { return &faultLog{last: map[string]time.Time{}, open: map[string]int{}} }

// begin records a fault that lasts until end is called.
func (f *faultLog) begin(party string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open[party]++
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.open[party]--
		f.last[party] = time.Now()
	})
}

// record records a momentary fault.
func (f *faultLog) record(party string) { f.begin(party)() }

// recordAll records a momentary fault of all parties.
func (f *faultLog) recordAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all = time.Now()
}

// stable reports whether the parties had no fault during the last stableTime.
func (f *faultLog) stable(parties ...string) bool { return f.stableFor(stableTime, parties...) }

// stableFor reports whether the parties had no fault during the last d.
func (f *faultLog) stableFor(d time.Duration, parties ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.all) < d {
		return false
	}
	for _, p := range parties {
		if f.open[p] > 0 || now.Sub(f.last[p]) < d {
			return false
		}
	}
	return true
}
