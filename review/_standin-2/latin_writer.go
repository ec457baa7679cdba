package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// The case latin-writer: a server drains, and another writer leaves an entry for it that is no JSON, since its text
// is Latin-1.
const (
	drainBound  = 3 * time.Second // drain_ms
	latinBefore = 3 * time.Second // until the server drains
	latinWait   = drainBound + 400*time.Millisecond
	latinAfter  = 4 * time.Second
)

// drainRun is what the servers have seen.
type drainRun struct {
	mu      sync.Mutex
	record  *record
	leaving *server
	since   time.Time // when the store had acknowledged that leaving drains
	judged  map[flowKey]bool
	ran     int
	breaks  int
}

func latinWriter(path string, trouble bool) (breaks int, err error) {
	r, err := newRig(path, 3, []string{"north"}, sparfake.Document{Version: 3, Routes: []sparfake.Route{
		{At: holdsRoute, Service: "booking", Once: true, Timeout: writerWait, Priority: 1},
	}}.Text())
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return 0, err
	}
	run := &drainRun{record: r.record, judged: map[flowKey]bool{}}
	var servers []*server
	for n := range 4 {
		s, err := r.startServer(uint64(0x7f3a91c200+n), "booking", "north", n, 2000, writerWork)
		if err != nil {
			return 0, err
		}
		s.mu.Lock()
		s.ran = run.serverRan
		s.mu.Unlock()
		servers = append(servers, s)
	}
	r.probe()
	clients, err := r.startClients()
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	go run.drainOne(r, servers[1], trouble)
	var users sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < latinBefore+latinWait+latinAfter; n++ {
		users.Add(1)
		go func() {
			defer users.Done()
			clients[n%len(clients)].askOnce(n, holdsRoute, fmt.Sprintf("hold-%d", n), writerWait)
		}()
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / writerUsers))
	}
	users.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	r.record.printf("%d requests ran; DRAIN broken %d times", run.ran, run.breaks)
	return run.breaks, nil
}

// drainOne lets the server s drain. With trouble another writer leaves an entry for it later, once, and the server
// writes its own again with its next heartbeat.
func (d *drainRun) drainOne(r *rig, s *server, trouble bool) {
	time.Sleep(latinBefore)
	s.drain()
	d.mu.Lock()
	d.leaving, d.since = s, time.Now()
	d.mu.Unlock()
	d.record.printf("i-%x drains, acknowledged", s.id)
	if !trouble {
		return
	}
	time.Sleep(latinWait)
	key, ready := sparfake.Entry(s.id, s.service, s.zone, s.at.String(), false, s.born)
	foreign := bytes.Replace(ready, []byte(`"version":"v1"`), []byte("\"version\":\"v1-l\xf6rdag\""), 1)
	r.store.Put(key, foreign)
	d.record.printf("another writer leaves in %s: %q", key, foreign)
	time.Sleep(heartbeat)
	s.drain()
	d.record.printf("heartbeat of i-%x: it drains", s.id)
}

// serverRan checks a request by the time at which the flow's opening packet reached the server.
func (d *drainRun) serverRan(s *server, k flowKey, request string, h *held) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ran++
	if s != d.leaving || d.judged[k] {
		return
	}
	d.judged[k] = true
	if late := h.since.Sub(d.since); late > drainBound {
		d.breaks++
		d.record.printf("BROKEN: i-%x runs %s; the SYN reached it through %s %v after the store had acknowledged that it drains", s.id, request, h.through.name, late.Round(time.Millisecond))
	}
}
