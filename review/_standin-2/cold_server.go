package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// The case cold-server: two servers of four are replaced one after the other. A new one is slow for some seconds.
const (
	holdWork    = 250 * time.Millisecond // of a request
	coldTime    = 2 * time.Second
	coldWork    = 400 * time.Millisecond
	coldSYN     = 280 * time.Millisecond // from a SYN to its SYN+ACK while the server is cold
	holdUsers   = 14                     // new users a second
	replaceGap  = time.Second            // from the start of the new server to the drain of the old one
	stayTime    = 7 * time.Second        // of a draining server
	replaceAt   = 4 * time.Second
	replaceTime = 6 * time.Second
	holdTime    = 3 * time.Second // deadline of a request
)

var holdRoute, _ = sparflow.ParseEndpoint("198.18.0.1:8080")

// coldRun is what clients and servers have seen.
type coldRun struct {
	mu      sync.Mutex
	rig     *rig
	record  *record
	owner   map[flowKey]*server
	through map[flowKey]*machine
	breaks  int
}

func coldServer(path string, trouble bool) (breaks int, err error) {
	r, err := newRig(path, 3, []string{"north"}, sparfake.Document{Version: 3, Routes: []sparfake.Route{
		{At: holdRoute, Service: "holds", Once: true, Timeout: holdTime, Objective: time.Second, Priority: 1},
	}}.Text())
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return 0, err
	}
	run := &coldRun{rig: r, record: r.record, owner: map[flowKey]*server{}, through: map[flowKey]*machine{}}
	var olds []*server
	for n := range 4 {
		s, err := run.start(n)
		if err != nil {
			return 0, err
		}
		olds = append(olds, s)
	}
	r.probe()
	clients, err := r.startClients()
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		go run.replace(olds[:2])
	}
	var users sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < replaceAt+2*replaceTime; n++ {
		users.Add(1)
		go func() {
			defer users.Done()
			run.user(clients[n%len(clients)], n)
		}()
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(time.Second) / holdUsers))
	}
	users.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	r.record.printf("FLOW broken %d times", run.breaks)
	return run.breaks, nil
}

func (c *coldRun) start(n int) (s *server, err error) {
	s, err = c.rig.startServer(uint64(0x7f3a91c200+n), "holds", "north", n, 2000, holdWork)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opened, s.resets = c.opened, c.resets
	s.ran = func(s *server, k flowKey, request string, _ *held) {
		c.record.printf("run: i-%x runs %s of %s", s.id, request, k.client)
	}
	return s, nil
}

// replace replaces servers, one after the other: the new one starts first, then the old one drains and ends.
func (c *coldRun) replace(olds []*server) {
	time.Sleep(replaceAt)
	for n, old := range olds {
		s, err := c.start(4 + n)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.slowSYN, s.work = coldSYN, coldWork
		s.mu.Unlock()
		key, value := sparfake.Entry(s.id, s.service, s.zone, s.at.String(), false, s.born)
		c.rig.store.Put(key, sparfake.Warming(value, coldTime))
		time.AfterFunc(coldTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.slowSYN, s.work = 0, holdWork
		})
		time.Sleep(replaceGap)
		c.record.printf("i-%x drains", old.id)
		old.drain()
		time.AfterFunc(stayTime, func() {
			c.record.printf("i-%x ends", old.id)
			c.rig.store.Remove(fmt.Sprintf("%si-%x", sparfake.ServerPrefix, old.id))
			_ = old.conn.Close()
		})
		time.Sleep(replaceTime - replaceGap)
	}
}

func (c *coldRun) user(cl *client, n int) {
	f, err := cl.openNoted(holdRoute, func(*clientFlow) {})
	if err != nil {
		c.record.printf("user %d: %s %v", n, f.key.client, err)
		return
	}
	id := fmt.Sprintf("hold-%d", n)
	answer, err := f.do(id, holdTime)
	c.record.printf("user %d: %s request %s: answer %q %v", n, f.key.client, id, answer, err)
	switch err {
	case nil:
		f.close()
	case errReset:
		c.checkReset(f, id)
	}
}

func (c *coldRun) opened(s *server, k flowKey, copied uint32, through *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner[k] = s
	c.record.printf("open: %s at i-%x, copy %d through %s", k.client, s.id, copied, through.name)
}

func (c *coldRun) resets(s *server, k flowKey, through *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.through[k] = through
	c.record.printf("server i-%x gets a packet of %s through %s, which it does not hold, and resets it", s.id, k.client, through.name)
}

// checkReset checks a reset that a client got on an open flow.
func (c *coldRun) checkReset(f *clientFlow, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	owner := c.owner[f.key]
	if owner == nil || c.rig.serverAt(f.resetBy) == owner {
		return
	}
	c.breaks++
	c.record.printf("BROKEN: %s is open at i-%x, which lives and runs its request %s; the client got a reset from %s", f.key.client, owner.id, id, f.resetBy)
}
