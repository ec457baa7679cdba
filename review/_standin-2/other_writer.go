package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// The case other-writer: another writer leaves an entry for a server of one service. The entry has none of the
// fields that the pages name, since its names are in capitals.
const (
	writerWork   = 10 * time.Millisecond
	writerUsers  = 60 // new users a second
	writerBefore = 4 * time.Second
	writerAfter  = 4 * time.Second
	writerWait   = 600 * time.Millisecond // deadline of a request
)

var (
	holdsRoute, _  = sparflow.ParseEndpoint("198.18.0.1:8080")
	sheetsRoute, _ = sparflow.ParseEndpoint("198.18.0.2:8443")
)

// writerRun is what the servers have seen.
type writerRun struct {
	mu     sync.Mutex
	record *record
	ran    int
	breaks int
}

func otherWriter(path string, trouble bool) (breaks int, err error) {
	r, err := newRig(path, 3, []string{"north"}, sparfake.Document{Version: 3, Routes: []sparfake.Route{
		{At: holdsRoute, Service: "booking", Once: true, Timeout: writerWait, Priority: 1},
		{At: sheetsRoute, Service: "sheets", Timeout: 3 * time.Second, Priority: 2},
	}}.Text())
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return 0, err
	}
	run := &writerRun{record: r.record}
	var servers []*server
	for n, service := range []string{"booking", "booking", "booking", "sheets", "sheets"} {
		s, err := r.startServer(uint64(0x7f3a91c200+n), service, "north", n, 2000, writerWork)
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
	if trouble {
		go run.writeOnce(r, servers[3])
	}
	var users sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < writerBefore+writerAfter; n++ {
		users.Add(1)
		go func() {
			defer users.Done()
			run.user(clients[n%len(clients)], n)
		}()
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / writerUsers))
	}
	users.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	r.record.printf("%d requests ran; ROUTE broken %d times", run.ran, run.breaks)
	return run.breaks, nil
}

// writeOnce plays the other writer, once, right after a heartbeat of the server s. The server writes its own
// entry again with the next one, as it does whenever more than the sequence differs.
func (w *writerRun) writeOnce(r *rig, s *server) {
	time.Sleep(writerBefore)
	key, own := sparfake.Entry(s.id, s.service, s.zone, s.at.String(), false, s.born)
	foreign := bytes.Replace(own, []byte(`"sheets"`), []byte(`"booking"`), 1)
	for _, name := range []string{"service", "address", "zone", "version", "max_concurrency", "state", "warmup_left_ms", "sequence", "born"} {
		foreign = bytes.Replace(foreign, []byte(`"`+name+`":`), bytes.ToUpper([]byte(`"`+name+`":`)), 1)
	}
	r.store.Put(key, foreign)
	w.record.printf("another writer leaves in %s: %s", key, foreign)
	time.Sleep(heartbeat)
	r.store.Put(key, own)
	w.record.printf("heartbeat of i-%x writes in %s: %s", s.id, key, own)
}

// user sends one request, which may run once at most. Users take turns at the two routes.
func (w *writerRun) user(c *client, n int) {
	if n%4 == 3 {
		c.askOnce(n, sheetsRoute, fmt.Sprintf("sheet-%d", n), writerWait)
		return
	}
	c.askOnce(n, holdsRoute, fmt.Sprintf("hold-%d", n), writerWait)
}

// serverRan checks that the service of a server is that of the route.
func (w *writerRun) serverRan(s *server, k flowKey, request string, h *held) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran++
	if want := map[sparflow.Endpoint]string{holdsRoute: "booking", sheetsRoute: "sheets"}[k.route]; s.service != want {
		w.breaks++
		w.record.printf("BROKEN: i-%x of %s runs %s, which a client sent to %s of %s, through %s", s.id, s.service, request, k.route, want, h.through.name)
	}
}
