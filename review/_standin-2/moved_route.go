package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// The case moved-route: the servers of a service hold as many flows as they may, and the operator moves the
// route to another service.
const (
	fullFlows  = 2000                 // that a server of the old service holds at most
	idleAsk    = 9 * time.Second      // between two requests of a flow that stays
	arrivals   = 50                   // new users a second
	departures = 12                   // users that leave a second
	calmTime   = 6 * time.Second      // with full servers before the route moves
	afterTime  = 6 * time.Second      // of new users after that
	deadline   = 3 * time.Second      // of a request
	oldWork    = 2 * time.Millisecond // of a request at the old service
	fillPause  = 1500 * time.Microsecond
)

var movingRoute, _ = sparflow.ParseEndpoint("198.18.0.1:8443")

// movedRun is what the servers have seen.
type movedRun struct {
	mu     sync.Mutex
	record *record
	flows  map[flowKey]*clientFlow
	effect map[*machine]time.Time // when a server of the new service took a flow through a VM
	ran    int
	judged map[flowKey]bool
	breaks int
}

func movedRoute(path string, trouble bool) (breaks int, err error) {
	document := func(version uint64, service string) []byte {
		return sparfake.Document{Version: version, Routes: []sparfake.Route{
			{At: movingRoute, Service: service, Timeout: deadline, Objective: 500 * time.Millisecond, Priority: 2},
		}}.Text()
	}
	r, err := newRig(path, 3, []string{"north"}, document(3, "sheets-old"))
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return 0, err
	}
	run := &movedRun{record: r.record, flows: map[flowKey]*clientFlow{}, effect: map[*machine]time.Time{}, judged: map[flowKey]bool{}}
	for n, service := range []string{"sheets-old", "sheets-old", "sheets-new", "sheets-new"} {
		s, err := r.startServer(uint64(0x7f3a91c200+n), service, "north", n, fullFlows, oldWork)
		if err != nil {
			return 0, err
		}
		s.ran = run.serverRan
	}
	r.probe()
	clients, err := r.startClients()
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second) // the VMs read the entries of the servers
	leave := make(chan struct{}, 2*fullFlows)
	var users sync.WaitGroup
	for n := range 2 * fullFlows {
		users.Add(1)
		go func() {
			defer users.Done()
			if f, err := run.open(clients[n%len(clients)]); err == nil {
				run.stay(f, fmt.Sprintf("stay-%d", n), leave, r.ctx.Done())
			}
		}()
		time.Sleep(fillPause)
	}
	r.record.printf("%d flows opened to fill the servers of sheets-old", 2*fullFlows)
	go func() {
		for range time.Tick(time.Second / departures) {
			select {
			case leave <- struct{}{}:
			case <-r.ctx.Done():
				return
			}
		}
	}()
	go run.countRuns(r.ctx.Done())
	began := time.Now()
	moved := false
	for n := 0; time.Since(began) < calmTime+afterTime; n++ {
		if trouble && !moved && time.Since(began) >= calmTime {
			moved = true
			r.store.Put(sparfake.RoutingKey, document(8, "sheets-new"))
			r.record.printf("operator: version 8 moves the route to sheets-new, acknowledged")
		}
		go run.arrive(clients[n%len(clients)], n, leave, r.ctx.Done())
		time.Sleep(time.Second/arrivals + time.Duration(rand.IntN(4)-2)*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	run.mu.Lock()
	defer run.mu.Unlock()
	r.record.printf("%d requests ran; CONFIG broken %d times", run.ran, run.breaks)
	return run.breaks, nil
}

// stay keeps a flow, with a request now and then, until one user is to leave.
func (m *movedRun) stay(f *clientFlow, name string, leave <-chan struct{}, end <-chan struct{}) {
	for i := 0; ; i++ {
		if _, err := f.do(fmt.Sprintf("%s-%d", name, i), deadline); err != nil {
			return
		}
		pause := time.NewTimer(time.Duration(float64(idleAsk) * (0.7 + 0.6*rand.Float64())))
		select {
		case <-pause.C:
		case <-leave:
			f.close()
			return
		case <-end:
			return
		}
	}
}

// arrive is a new user, who keeps the flow. It tries again twice.
func (m *movedRun) arrive(c *client, n int, leave <-chan struct{}, end <-chan struct{}) {
	for try := range 3 {
		f, err := m.open(c)
		if err != nil {
			m.record.printf("user %d try %d: %s %v", n, try, f.key.client, err)
			continue
		}
		id := fmt.Sprintf("new-%d-%d", n, try)
		answer, err := f.do(id, deadline)
		m.record.printf("user %d try %d: %s request %s: answer %q %v", n, try, f.key.client, id, answer, err)
		if err == nil {
			m.stay(f, fmt.Sprintf("user-%d", n), leave, end)
			return
		}
	}
}

func (m *movedRun) open(c *client) (f *clientFlow, err error) {
	return c.openNoted(movingRoute, func(f *clientFlow) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.flows[f.key] = f
	})
}

// serverRan checks a request that a server begins to run, by the packet that opened its flow.
func (m *movedRun) serverRan(s *server, k flowKey, request string, h *held) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ran++
	f := m.flows[k]
	if f == nil || h.through == nil || m.judged[k] {
		return
	}
	m.judged[k] = true // a flow is judged by the packet that opened it
	f.mu.Lock()
	first, taken := f.sentSYN[0], f.sentSYN[min(int(h.copied), len(f.sentSYN)-1)]
	f.mu.Unlock()
	effect, seen := m.effect[h.through]
	if s.service == "sheets-new" {
		if !seen {
			m.effect[h.through] = time.Now()
			m.record.printf("EFFECT: i-%x of %s runs %s through %s: version 8 is in force there", s.id, s.service, request, h.through.name)
		}
		return
	}
	if seen && taken.After(effect.Add(rollback)) {
		m.breaks++
		m.record.printf("BROKEN: i-%x of %s runs %s of %s through %s; the copy %d of the SYN that it took was sent %v after the effect of version 8 (first SYN: %v after)",
			s.id, s.service, request, k.client, h.through.name, h.copied, taken.Sub(effect).Round(time.Millisecond), first.Sub(effect).Round(time.Millisecond))
	}
}

// countRuns writes once a second how many requests have run, those of users that stay included.
func (m *movedRun) countRuns(end <-chan struct{}) {
	for range time.Tick(time.Second) {
		select {
		case <-end:
			return
		default:
		}
		m.mu.Lock()
		m.record.printf("%d requests have run so far", m.ran)
		m.mu.Unlock()
	}
}
