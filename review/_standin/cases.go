package main

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparrank"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

const (
	deadline = 600 * time.Millisecond // of a request
	// grownBound is the bound of the grown site, for its configuration and for servers that drain.
	grownBound = 5 * time.Second
	// margin is added to each bound before a late packet counts, for the delays of this machine.
	margin = 100 * time.Millisecond

	bookingWork = 15 * time.Millisecond
	sheetWork   = 5 * time.Millisecond
	// longWork is longer than the 200 ms after which clients retransmit, and within the deadline.
	longWork = 350 * time.Millisecond
)

// deploy starts VMs and servers: four of the booking service and one of the sheets.
func (s *site) deploy(vms int) (booking []*sparfake.Server, sheets *sparfake.Server, err error) {
	zones := []string{"south-a", "south-b"}
	for n := range vms {
		s.addVM(fmt.Sprintf("vm-%d", n), zones[n/2%len(zones)])
	}
	for n := range 4 {
		server, err := s.addServer(0x1100+uint64(n), "booking", zones[n%len(zones)], bookingWork)
		if err != nil {
			return nil, nil, err
		}
		booking = append(booking, server)
	}
	if sheets, err = s.addServer(0x2200, "sheets", zones[0], sheetWork); err != nil {
		return nil, nil, err
	}
	if err := s.startVMs(); err != nil {
		return nil, nil, err
	}
	time.Sleep(touchTime)
	return booking, sheets, nil
}

// request opens a flow to a route, sends one request on it and closes it.
func (s *site) request(c *sparfake.Client, route sparflow.Endpoint, name string) (served bool) {
	f, err := c.Open(route)
	if err != nil {
		s.note("client: %s has no flow: %v", name, err)
		return false
	}
	response, err := f.Do(name, deadline)
	s.note("client: %s answered %q, error %v", name, response, err)
	f.Close()
	return err == nil
}

// requests sends requests through each VM until end.
func (s *site) requests(route sparflow.Endpoint, end time.Time) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, v := range s.vms {
		c, err := s.newClient(v)
		if err != nil {
			return err
		}
		wg.Go(func() {
			defer c.Close()
			for n := 0; time.Now().Before(end); n++ {
				s.request(c, route, fmt.Sprintf("%s-%d", v.name, n))
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return nil
}

// resetByVM: another writer leaves unreadable bytes in the entry of a server that drains, while
// it works on requests of its open flows.
func resetByVM(s *site, trouble bool) error {
	if _, _, err := s.deploy(3); err != nil {
		return err
	}
	leaving, err := s.addServer(0x3300, "booking", "south-a", longWork)
	if err != nil {
		return err
	}
	time.Sleep(touchTime)
	c, err := s.newClient(s.vms[0])
	if err != nil {
		return err
	}
	defer c.Close()
	flows, err := s.openAt(c, leaving, 8)
	if err != nil {
		return err
	}
	leaving.Drain()
	s.register(leaving)
	time.Sleep(beat) // every VM has read it
	s.waitBeat()
	if trouble {
		s.foreignWrite(leaving, "\x00\x01 no entry")
	}
	for n, f := range flows {
		name := fmt.Sprintf("hold-%d", n)
		response, err := f.Do(name, deadline)
		s.note("client: %s answered %q, error %v", name, response, err)
		if errors.Is(err, sparfake.ErrReset) && !f.ResetByServer {
			s.violated("FLOW: the flow of %s, open at server %x, which lives, was reset by the VM %s", name, leaving.ID, f.ResetBy)
		}
	}
	return nil
}

// openAt opens flows until count of them are at a server, and returns these. The others stay
// open, so that the VM spreads them evenly.
func (s *site) openAt(c *sparfake.Client, server *sparfake.Server, count int) (flows []*sparfake.Flow, err error) {
	for range 400 {
		f, err := c.Open(bookingRoute)
		if err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Millisecond)
		client, _ := f.Ends()
		if s.opened(server, client) {
			flows = append(flows, f)
		}
		if len(flows) == count {
			return flows, nil
		}
	}
	return nil, fmt.Errorf("only %d flows are at server %x", len(flows), server.ID)
}

// drainIgnored: another writer leaves an entry without a version and a sequence for a server
// that drains.
func drainIgnored(s *site, trouble bool) error {
	booking, _, err := s.deploy(3)
	if err != nil {
		return err
	}
	leaving := booking[0]
	leaving.Drain()
	acked := s.register(leaving)
	if trouble {
		go func() {
			time.Sleep(drainBound)
			s.waitBeat()
			s.foreignWrite(leaving, incomplete(leaving, leaving.Service))
		}()
	}
	if err := s.requests(bookingRoute, acked.Add(9*time.Second)); err != nil {
		return err
	}
	for _, o := range s.openingsAt(leaving) {
		if late := o.at.Sub(acked); late > drainBound+margin {
			s.violated("DRAIN: server %x took the opening packet of %s through %s %d ms after its draining was acknowledged", leaving.ID, o.client, o.vm, late.Milliseconds())
		}
	}
	return nil
}

// wrongService: another writer leaves an entry without a version and a sequence for a server,
// with another service.
func wrongService(s *site, trouble bool) error {
	_, sheets, err := s.deploy(3)
	if err != nil {
		return err
	}
	began := time.Now()
	if trouble {
		go func() {
			s.waitBeat()
			s.foreignWrite(sheets, incomplete(sheets, "booking"))
		}()
	}
	if err := s.requests(bookingRoute, began.Add(5*time.Second)); err != nil {
		return err
	}
	for _, r := range s.runsAt(sheets) {
		if r.route == bookingRoute {
			s.violated("ROUTE: server %x of %s has run %q of the route %s, which goes to booking", sheets.ID, sheets.Service, r.request, r.route)
		}
	}
	return nil
}

// incomplete returns an entry of a server without its version and sequence.
func incomplete(server *sparfake.Server, service string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"max_concurrency":2,"state":"ready","warmup_left_ms":0}`, service, server.At, server.Zone)
}

// noStart: the grace time of the settings gets a fraction, and the VMs are restarted in turn.
func noStart(s *site, trouble bool) error {
	if _, _, err := s.deploy(2); err != nil {
		return err
	}
	if err := s.requests(bookingRoute, time.Now().Add(2*time.Second)); err != nil {
		return err
	}
	for _, v := range s.vms {
		v.grace = 7
		if trouble {
			v.grace = 6.5
		}
		if err := v.writeSettings(); err != nil {
			return err
		}
		v.signal(syscall.SIGHUP)
	}
	time.Sleep(touchTime)
	for _, v := range s.vms {
		if err := s.restart(v); err != nil {
			return err
		}
	}
	return s.requests(bookingRoute, time.Now().Add(2*time.Second))
}

// restart stops a VM with SIGTERM and starts it again, as often as its process ends by itself.
func (s *site) restart(v *vm) error {
	const tries = 4
	v.signal(syscall.SIGTERM)
	if !v.waitExit(exitTimeout) {
		return fmt.Errorf("%s has not stopped", v.name)
	}
	for range tries {
		time.Sleep(500 * time.Millisecond)
		if err := v.start(); err != nil {
			return err
		}
		if v.waitReady(2 * time.Second) {
			s.note("%s: ready", v.name)
			return nil
		}
	}
	s.violated("Fault: %s does not start with the grace time %v s, %d tries", v.name, v.grace, tries)
	return nil
}

// staleSettings: the VM that reads the store loses power right after a read, and another one that
// stood still then wakes. The third VM is never disturbed.
func staleSettings(s *site, trouble bool) error {
	const rounds = 15
	if _, _, err := s.deploy(3); err != nil {
		return err
	}
	byPrecedence := slices.Clone(s.vms)
	slices.SortFunc(byPrecedence, func(a, b *vm) int {
		return cmp.Compare(sparrank.Weight(0, sparrank.Hash(b.name)), sparrank.Weight(0, sparrank.Hash(a.name)))
	})
	reader, sleeper, calm := byPrecedence[0], byPrecedence[1], byPrecedence[2]
	c, err := s.newClient(calm)
	if err != nil {
		return err
	}
	defer c.Close()
	for n := range rounds {
		route := sparflow.MakeEndpoint(sheetRoute.IP(), 9000+uint16(n))
		if err := s.dropRoute(trouble, route, reader, sleeper, calm, c); err != nil {
			return err
		}
	}
	return nil
}

// dropRoute adds a route, removes it again while reader and sleeper are in trouble, and checks
// until when the calm VM serves it.
func (s *site) dropRoute(trouble bool, route sparflow.Endpoint, reader, sleeper, calm *vm, c *sparfake.Client) error {
	const (
		beforeRead = 400 * time.Millisecond  // after a read, before the next one
		wakeAfter  = 1570 * time.Millisecond // after the read
		darkFor    = 3500 * time.Millisecond
		watchFor   = 3600 * time.Millisecond
	)
	s.routes = append(s.routes, sparfake.Route{At: route, Service: "booking"})
	s.publish()
	time.Sleep(beat) // every VM has read it
	if !s.waitReader(reader) {
		return fmt.Errorf("%s does not read the store", reader.name)
	}
	time.Sleep(beforeRead)
	if trouble {
		sleeper.signal(syscall.SIGSTOP)
	}
	read, ok := s.nextCall()
	if !ok || read.vm != reader {
		return errors.New("another VM reads the store")
	}
	s.note("%s reads the store", reader.name)
	time.Sleep(20 * time.Millisecond)
	if trouble {
		reader.signal(syscall.SIGKILL)
	}
	s.routes = s.routes[:len(s.routes)-1]
	s.publish()
	acked := time.Now()
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			time.Sleep(time.Until(read.at.Add(wakeAfter)))
			sleeper.signal(syscall.SIGCONT)
		})
		wg.Go(func() {
			time.Sleep(time.Until(read.at.Add(darkFor)))
			if err := reader.start(); err != nil {
				s.note("%s: %v", reader.name, err)
			}
		})
	}
	for n := 0; time.Since(read.at) < watchFor; n++ {
		sent := time.Now()
		name := fmt.Sprintf("%s-%d", route, n)
		if s.request(c, route, name) && sent.Sub(acked) > applyBound {
			s.violated("CONFIG: %s, sent through %s %d ms after the removal of its route was acknowledged, has run", name, calm.name, sent.Sub(acked).Milliseconds())
		}
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	if !reader.waitReady(readyTimeout) {
		return fmt.Errorf("%s is not ready", reader.name)
	}
	return nil
}

// waitReader waits until a VM reads the store.
func (s *site) waitReader(v *vm) bool {
	for range 40 {
		if c, ok := s.nextCall(); ok && c.vm == v {
			return true
		}
	}
	return false
}

// largeSettings: the configuration grows in steps to nearly the largest value of the store, on VMs
// with links of 10 Mbit/s. Then a route is removed and a server drains.
func largeSettings(s *site, trouble bool) error {
	const (
		steps    = 5
		growth   = 1240 // routes a step
		stepTime = 2 * time.Second
		watchFor = 10 * time.Second
	)
	s.bound, s.bitRate = grownBound, 10_000_000
	removed := sparfake.Route{At: sparflow.MakeEndpoint(sheetRoute.IP(), 9000), Service: "booking"}
	s.routes = append(s.routes, removed)
	s.publish()
	booking, _, err := s.deploy(3)
	if err != nil {
		return err
	}
	for step := range steps {
		if trouble {
			for n := range growth {
				at := sparflow.MakeEndpoint(0xc6130000+uint32(step*growth+n), 8443)
				s.routes = append(s.routes, sparfake.Route{At: at, Service: "sheets"})
			}
		}
		s.publish()
		time.Sleep(stepTime)
	}
	s.routes = slices.DeleteFunc(s.routes, func(r sparfake.Route) bool { return r == removed })
	s.publish()
	acked := time.Now()
	leaving := booking[0]
	leaving.Drain()
	drained := s.register(leaving)
	time.Sleep(grownBound + time.Second)
	if err := s.requests(removed.At, time.Now().Add(2*time.Second)); err != nil {
		return err
	}
	if err := s.requests(bookingRoute, acked.Add(watchFor)); err != nil {
		return err
	}
	s.checkOpenings(removed.At, acked, leaving, drained)
	return nil
}

// checkOpenings checks that no server has accepted a flow on a removed route after the bound, and
// that the server that drains has accepted none after its bound.
func (s *site) checkOpenings(removed sparflow.Endpoint, acked time.Time, leaving *sparfake.Server, drained time.Time) {
	s.mu.Lock()
	openings := slices.Clone(s.openings)
	s.mu.Unlock()
	for _, o := range openings {
		if late := o.at.Sub(acked); o.route == removed && late > grownBound+margin {
			s.violated("CONFIG: server %x took an opening packet of the removed route through %s %d ms after its removal was acknowledged", o.server.ID, o.vm, late.Milliseconds())
		}
		if late := o.at.Sub(drained); o.server == leaving && late > grownBound+margin {
			s.violated("DRAIN: server %x took the opening packet of %s through %s %d ms after its draining was acknowledged", leaving.ID, o.client, o.vm, late.Milliseconds())
		}
	}
}
