package sparevidence_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// gap is the usual time between the first requests that hang at two VMs.
const gap = 100 * time.Millisecond

// hangingCases are the reports of requests that hang at upstream 1, what else happens, and whether it is ejected.
var hangingCases = []struct {
	name  string
	vms   int                   // that report such requests
	gap   time.Duration         // between the first requests that hang at two VMs
	play  func(b *hangingBoard) // nil for nothing more
	eject bool
}{
	{"four VMs", 4, gap, nil, true},
	{"three VMs and this one", 3, gap, func(b *hangingBoard) { b.see(sparevidence.Observation{ID: 1, Hanging: true}) }, true},
	{"three VMs", 3, gap, nil, false},
	{"at the same moment, as where flows move", 8, gap / 10, nil, false},
	{"it answers another VM", 4, gap, func(b *hangingBoard) {
		b.hear(5, sparevidence.Entry{ID: 1, Born: 7, Counts: sparevidence.Counts{Answered: 1}, Failed: sparevidence.Never, Streak: sparevidence.Never})
	}, false},
	{"it has answered this VM before", 4, gap, func(b *hangingBoard) {
		b.see(progress.Upstreams[0])
		b.now += 600 * time.Millisecond
		for n := 1; n <= 4; n++ {
			b.hear(n, hanging(1, time.Duration(n)*gap))
		}
	}, false},
	{"so do a third of the service", 4, gap, func(b *hangingBoard) {
		for n := 1; n <= 4; n++ {
			since := time.Duration(n) * 2 * gap
			b.now += step // after the report before
			b.hear(n, hanging(1, since), hanging(2, since), hanging(3, since), hanging(4, since))
		}
	}, false},
}

// TestHangingRequests covers an upstream that acknowledges requests and answers none: requests of VMs hang
// there, and no client has given up yet.
func TestHangingRequests(t *testing.T) {
	for _, test := range hangingCases {
		t.Run(test.name, func(t *testing.T) {
			b := newHangingBoard(t)
			for n := 1; n <= test.vms; n++ {
				b.hear(n, hanging(1, time.Duration(n)*test.gap))
			}
			if test.play != nil {
				test.play(b)
			}
			ejected := false
			for _, c := range b.Evaluate(b.now) {
				ejected = ejected || c.Weight == 0
			}
			if ejected != test.eject {
				t.Errorf("ejected %v, want %v", ejected, test.eject)
			}
		})
	}
}

// hangingBoard is a board whose VM has had an answer of each of ten upstreams two seconds ago.
type hangingBoard struct {
	*sparevidence.Board
	t   *testing.T
	now time.Duration
}

func newHangingBoard(t *testing.T) *hangingBoard {
	b := &hangingBoard{Board: newBoard(10, 10), t: t, now: time.Minute}
	for id := range uint64(10) {
		b.see(sparevidence.Observation{ID: id + 1, Counts: sparevidence.Counts{Opened: 1, Answered: 1}})
	}
	for range 4 {
		b.now += 500 * time.Millisecond
		b.Observe(b.now, sparevidence.Observations{})
	}
	return b
}

// see tells the board what its VM has seen.
func (b *hangingBoard) see(obs sparevidence.Observation) {
	b.Observe(b.now, sparevidence.Observations{Upstreams: []sparevidence.Observation{obs}})
}

// hear gives the board a report of vm-n.
func (b *hangingBoard) hear(n int, entries ...sparevidence.Entry) {
	b.t.Helper()
	mustReceive(b.t, b.Board, b.now, sparevidence.Report{From: vmName(n), Run: 5, Sent: b.now, Seen: 5, Upstreams: entries})
}

// hanging returns an entry about an upstream at which requests hang since a while.
func hanging(id uint64, since time.Duration) sparevidence.Entry {
	return sparevidence.Entry{ID: id, Born: 7, Answered: sparevidence.Never, Failed: sparevidence.Never, Streak: since}
}

// TestHangingRequestsAreTold checks what a VM says of a request that hangs, at once, and that it says no
// more after an answer.
func TestHangingRequestsAreTold(t *testing.T) {
	b := newBoard(4, 10)
	now := time.Minute
	b.Observe(now, sparevidence.Observations{Upstreams: []sparevidence.Observation{{ID: 1, Hanging: true}}})
	r, due := b.Compose(now)
	if !due || len(r.Upstreams) != 1 || r.Upstreams[0].Streak != 0 || r.Upstreams[0].Failed != sparevidence.Never || r.Bad > 0 {
		t.Errorf("report %+v, due %v, want the request that hangs", r, due)
	}
	now += 500 * time.Millisecond
	b.Observe(now, progress)
	now += 600 * time.Millisecond
	if r, due := b.Compose(now); due {
		t.Errorf("report %+v after an answer", r)
	}
}
