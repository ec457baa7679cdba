package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// The case late-syn: a VM stands still for a moment. What was sent to it waits in its socket and is
// forwarded when it runs again.
const (
	freezeTime  = 1800 * time.Millisecond
	newUsers    = 40                      // a second
	askEvery    = 5500 * time.Millisecond // between two requests of a user
	asks        = 3
	beforeTime  = 5 * time.Second
	followTime  = 4 * time.Second // of new users after the VM runs again
	watchWork   = 15 * time.Millisecond
	lateTimeout = 3 * time.Second
)

var watchRoute, _ = sparflow.ParseEndpoint("198.18.0.1:443")

// lateRun is what clients and servers have seen.
type lateRun struct {
	mu              sync.Mutex
	rig             *rig
	record          *record
	owner           map[flowKey]*server    // that has the end of the handshake
	frozen          map[*machine]time.Time // end of its last pause
	through         map[flowKey]*machine   // that sent the packet on which a server reset a flow
	sender          map[flowKey]*server
	breaks, excused int
}

func lateSYN(path string, trouble bool) (breaks int, err error) {
	r, err := newRig(path, 3, []string{"north"}, sparfake.Document{Version: 3, Routes: []sparfake.Route{
		{At: watchRoute, Service: "booking", Timeout: lateTimeout, Objective: 100 * time.Millisecond, Priority: 2},
	}}.Text())
	if r != nil {
		defer r.close()
	}
	if err != nil {
		return 0, err
	}
	run := &lateRun{
		rig: r, record: r.record, owner: map[flowKey]*server{}, frozen: map[*machine]time.Time{}, through: map[flowKey]*machine{}, sender: map[flowKey]*server{},
	}
	for n := range 6 {
		s, err := r.startServer(uint64(0x7f3a91c200+n), "booking", "north", n, 2000, watchWork)
		if err != nil {
			return 0, err
		}
		s.opened, s.resets = run.opened, run.resets
	}
	r.probe()
	clients, err := r.startClients()
	if err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	var users sync.WaitGroup
	arrive := func(n int) {
		users.Add(1)
		go func() {
			defer users.Done()
			run.user(clients[n%len(clients)], n)
		}()
		time.Sleep(time.Second / newUsers)
	}
	began := time.Now()
	var resumed time.Time
	vm := r.vms[1]
	stopped := false
	for n := 0; time.Since(began) < beforeTime+freezeTime+followTime; n++ {
		if trouble && !stopped && time.Since(began) >= beforeTime {
			stopped = true
			_ = vm.cmd.Process.Signal(syscall.SIGSTOP)
			r.record.printf("%s stands still", vm.name)
		}
		if stopped && resumed.IsZero() && time.Since(began) >= beforeTime+freezeTime {
			resumed = time.Now()
			run.mu.Lock()
			run.frozen[vm] = resumed
			run.mu.Unlock()
			_ = vm.cmd.Process.Signal(syscall.SIGCONT)
			r.record.printf("%s runs again", vm.name)
		}
		arrive(n)
	}
	users.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	r.record.printf("FLOW broken %d times, %d more with a machine not in touch", run.breaks, run.excused)
	return run.breaks, nil
}

// user keeps a flow for a few requests, with pauses between them.
func (l *lateRun) user(c *client, n int) {
	f, err := c.openNoted(watchRoute, func(*clientFlow) {})
	if err != nil {
		l.record.printf("user %d: %s %v", n, f.key.client, err)
		return
	}
	for i := range asks {
		id := fmt.Sprintf("watch-%d-%d", n, i)
		answer, err := f.do(id, lateTimeout)
		l.record.printf("user %d: %s request %s via %s: answer %q %v", n, f.key.client, id, f.sentVia.name, answer, err)
		if err == errReset {
			l.checkReset(f, id)
			return
		}
		if err != nil {
			return
		}
		time.Sleep(askEvery)
	}
	f.close()
}

func (l *lateRun) opened(s *server, k flowKey, copied uint32, through *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner[k] = s
	l.record.printf("open: %s at i-%x, copy %d through %s", k.client, s.id, copied, through.name)
}

// resets notes a server that resets a flow which it does not hold.
func (l *lateRun) resets(s *server, k flowKey, through *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sender[k], l.through[k] = s, through
	l.record.printf("server i-%x gets a packet of %s through %s, which it does not hold, and resets it", s.id, k.client, through.name)
}

// checkReset checks a reset that a client got on an open flow.
func (l *lateRun) checkReset(f *clientFlow, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	owner := l.owner[f.key]
	sender := l.rig.serverAt(f.resetBy)
	if owner == nil || sender == owner {
		return
	}
	through := l.through[f.key]
	if sender == nil {
		through = l.rig.machineAt(f.resetBy)
	}
	if through == nil {
		return
	}
	if end, ok := l.frozen[through]; ok && f.resetAt.Sub(end) < stableWindow+200*time.Millisecond {
		l.excused++
		return
	}
	l.breaks++
	l.record.printf("BROKEN: %s is open at i-%x, which lives; its request %s went through %s and the client got a reset from %s",
		f.key.client, owner.id, id, through.name, f.resetBy)
}
