package sparevidence_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

const (
	service = "booking"
	step    = 50 * time.Millisecond
	usual   = 30 * time.Millisecond // response time
	// noticed is how long a request is pending until a VM notes that it is overdue.
	noticed = time.Second
)

type (
	// outcome is what happens to a request.
	outcome int

	// fleet is VMs of one failure domain that share evidence, and upstreams that behave as a
	// test says. New flows are drawn by weight.
	fleet struct {
		t         *testing.T
		random    *rand.Rand
		now       time.Duration
		vms       []*member
		upstreams []sparevidence.Upstream
		behave    func(vm int, id uint64) outcome
		rate      float64 // requests a second in all
		cut       func(from, to int) bool
		lost      int
		sent      int
		at        map[uint64]int // requests by upstream
		changes   int
	}

	member struct {
		index   int
		board   *sparevidence.Board
		weights map[uint64]float64
		answers map[uint64]time.Duration // last one of each upstream
		late    []lateFailure
		stopped bool
	}

	lateFailure struct {
		at time.Duration
		id uint64
	}
)

const (
	answered outcome = iota
	slow             // answered after several times the usual time
	mute             // opens, and never answers the request
	silent           // does not open
)

func newFleet(t *testing.T, vms, upstreams int, rate float64) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(1, 2)), now: time.Minute, rate: rate, at: map[uint64]int{}}
	f.behave = func(int, uint64) outcome { return answered }
	f.cut = func(int, int) bool { return false }
	for id := range uint64(upstreams) {
		f.upstreams = append(f.upstreams, sparevidence.Upstream{ID: id + 1, Born: 7, Service: service})
	}
	var list []sparevidence.VM
	for n := range vms {
		list = append(list, sparevidence.VM{Name: vmName(n), Domain: "north"})
	}
	for n := range vms {
		m := &member{index: n, weights: map[uint64]float64{}, answers: map[uint64]time.Duration{}}
		f.vms = append(f.vms, m)
		m.start(f, list)
	}
	return f
}

func vmName(n int) string { return fmt.Sprint("vm-", n) }

func vmIndex(name string) (n int) {
	fmt.Sscanf(name, "vm-%d", &n)
	return n
}

func (m *member) start(f *fleet, vms []sparevidence.VM) {
	m.board = sparevidence.New(vmName(m.index), uint32(f.now))
	m.board.SetVMs(vms)
	m.board.SetUpstreams(f.upstreams)
	clear(m.weights)
}

func (m *member) weight(id uint64) float64 {
	if w, ok := m.weights[id]; ok {
		return w
	}
	return 1
}

// run plays for a while.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for _, m := range f.vms {
			if m.stopped {
				continue
			}
			f.serve(m)
			f.exchange(m)
			for _, c := range m.board.Evaluate(f.now) {
				m.weights[c.Upstream.ID] = c.Weight
				f.changes++
			}
		}
	}
}

// serve sends the new requests of one VM in a step and tells its board what it sees.
func (f *fleet) serve(m *member) {
	var o sparevidence.Observations
	for len(m.late) > 0 && m.late[0].at <= f.now {
		o.Upstreams = append(o.Upstreams, sparevidence.Observation{ID: m.late[0].id, Counts: sparevidence.Counts{Failed: 1}})
		m.late = m.late[1:]
	}
	waited := time.Duration(0)
	for expected := f.rate / float64(len(f.vms)) * step.Seconds(); expected > 0; expected-- {
		if f.random.Float64() < expected {
			obs, took := f.request(m)
			o.Upstreams = append(o.Upstreams, obs)
			waited += took
		}
	}
	o.Services = []sparevidence.ServiceObservation{{Service: service, Waited: waited}}
	m.board.Observe(f.now, o)
}

// request sends a request of one VM and returns what the VM sees at once, and the response time.
func (f *fleet) request(m *member) (obs sparevidence.Observation, waited time.Duration) {
	obs.ID = f.choose(m)
	f.sent++
	f.at[obs.ID]++
	switch f.behave(m.index, obs.ID) {
	case answered:
		m.answers[obs.ID] = f.now
		obs.Counts, waited = sparevidence.Counts{Opened: 1, Answered: 1}, usual
	case slow:
		m.answers[obs.ID] = f.now
		obs.Counts, waited = sparevidence.Counts{Opened: 1, Answered: 1, Slow: 1}, 5*usual
	case mute:
		obs.Counts = sparevidence.Counts{Opened: 1}
		m.late = append(m.late, lateFailure{at: f.now + noticed, id: obs.ID})
		f.lost++
	case silent:
		obs.Counts = sparevidence.Counts{Unanswered: 1}
		f.lost++
	}
	return obs, waited
}

// choose draws an upstream by weight; if all are ejected, any.
func (f *fleet) choose(m *member) uint64 {
	total := 0.0
	for _, u := range f.upstreams {
		total += m.weight(u.ID)
	}
	if total == 0 {
		return f.upstreams[f.random.IntN(len(f.upstreams))].ID
	}
	draw := f.random.Float64() * total
	for _, u := range f.upstreams {
		if draw -= m.weight(u.ID); draw < 0 {
			return u.ID
		}
	}
	return f.upstreams[len(f.upstreams)-1].ID
}

// exchange sends the report that is due to the peers of a VM.
func (f *fleet) exchange(m *member) {
	r, due := m.board.Compose(f.now)
	if !due {
		return
	}
	for _, name := range m.board.Peers(false) {
		to := f.vms[vmIndex(name)]
		if to.stopped || f.cut(m.index, to.index) {
			continue
		}
		if err := to.board.Receive(f.now, r); err != nil {
			f.t.Errorf("%s refuses a report of %s: %v", name, r.From, err)
		}
	}
}

// reset begins to count anew.
func (f *fleet) reset() {
	f.lost, f.sent, f.changes = 0, 0, 0
	clear(f.at)
}

// count returns the number of VMs at which the weight of an upstream is within [low, high].
func (f *fleet) count(id uint64, low, high float64) (n int) {
	for _, m := range f.vms {
		if w := m.weight(id); w >= low && w <= high {
			n++
		}
	}
	return n
}
