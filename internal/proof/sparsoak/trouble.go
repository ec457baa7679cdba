package sparsoak

import (
	"sync"
	"time"
)

// trouble remembers when each party was last harmed. A party is the name of a VM, the
// address of an upstream, or the store.
type trouble struct {
	mu   sync.Mutex
	all  time.Time
	last map[string]time.Time
	open map[string]int // faults under way
}

const storeParty = "store"

func newTrouble() *trouble { return &trouble{last: map[string]time.Time{}, open: map[string]int{}} }

// begin notes a fault that goes on until the returned function is called.
func (t *trouble) begin(party string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[party]++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.open[party]--
		t.last[party] = time.Now()
	})
}

// touch notes a fault of a moment.
func (t *trouble) touch(party string) { t.begin(party)() }

// touchAll notes a fault of everything.
func (t *trouble) touchAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = time.Now()
}

// calm reports whether the parties were left alone for a while before now.
func (t *trouble) calm(parties ...string) bool { return t.calmFor(calm, parties...) }

// calmFor reports whether the parties were left alone for d before now.
func (t *trouble) calmFor(d time.Duration, parties ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.all) < d {
		return false
	}
	for _, p := range parties {
		if t.open[p] > 0 || now.Sub(t.last[p]) < d {
			return false
		}
	}
	return true
}
