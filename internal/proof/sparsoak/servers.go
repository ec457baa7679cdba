package sparsoak

import (
	"bytes"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// addServer starts an upstream and registers it.
func (t *testbed) addServer(service string) error {
	_, err := t.addServerIn(service, "", 0)
	return err
}

// addServerIn does the same in a failure domain, "" for any, with a warm-up.
func (t *testbed) addServerIn(service, domain string, warm time.Duration) (s *sparfake.Server, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range portTries {
		t.nextID++
		at := loopback(75, byte(t.nextID%200), 0)
		var l net.Listener
		if l, err = net.Listen("tcp4", at.String()); err != nil {
			continue
		}
		at = netip.MustParseAddrPort(l.Addr().String())
		_ = l.Close() // only the port is needed
		zone := domain
		if zone == "" {
			zone = zoneOf(int(t.nextID))
		}
		if s, err = t.startServer(t.nextID<<8|t.plan.Seed&0xff, service, zone, at, warm, false); err == nil {
			return s, nil
		}
	}
	return nil, errors.Annotate(err, "upstream")
}

// startServer starts an upstream with an ID and registers it. again tells that VMs may know the ID as
// that of an upstream that is warm. The caller holds mu.
func (t *testbed) startServer(id uint64, service, zone string, at netip.AddrPort, warm time.Duration, again bool) (s *sparfake.Server, err error) {
	if s, err = sparfake.NewServer(id, service, zone, at, t.dataPort, workTime, t.checker); err != nil {
		return nil, err
	}
	t.servers[id] = s
	if warm > 0 {
		s.SetWarm(s.Born.Add(warm))
		t.checker.startCold(s, s.Born.Add(warm), again)
	}
	t.register(s)
	t.checker.coldIsTold(s)
	return s, nil
}

// register writes the entry of an upstream, as the upstream itself would.
func (t *testbed) register(s *sparfake.Server) {
	key, value := s.Entry()
	t.store.Put(key, value)
}

// live returns the running upstreams of a service that are not draining.
func (t *testbed) live(service string) []*sparfake.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*sparfake.Server
	for id := uint64(0); id <= t.nextID; id++ {
		s := t.servers[id<<8|t.plan.Seed&0xff]
		if s != nil && s.Service == service && !s.Draining() {
			list = append(list, s)
		}
	}
	return list
}

// addOrderServers starts the upstreams of the service with overloads.
func (t *testbed) addOrderServers() error {
	for range orderUpstreams {
		s, err := t.addServerIn(orders, "", 0)
		if err != nil {
			return err
		}
		s.SetWorkTime(orderTime)
		s.SetSlots(orderSlots)
	}
	return nil
}

// claim reports whether a fault may end an upstream: no other is about to.
func (t *testbed) claim(s *sparfake.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ending[s.ID] || t.servers[s.ID] != s {
		return false
	}
	t.ending[s.ID] = true
	return true
}

// isEnding reports whether a fault is about to end an upstream or to replace it.
func (t *testbed) isEnding(s *sparfake.Server) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending[s.ID]
}

// endServer stops an upstream and removes its entry.
func (t *testbed) endServer(s *sparfake.Server) {
	t.mu.Lock()
	delete(t.servers, s.ID)
	delete(t.ending, s.ID)
	t.mu.Unlock()
	key, _ := s.Entry()
	t.store.Remove(key)
	s.Close()
}

// running returns all upstreams that have not ended.
func (t *testbed) running() []*sparfake.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*sparfake.Server
	for id := uint64(0); id <= t.nextID; id++ {
		if s := t.servers[id<<8|t.plan.Seed&0xff]; s != nil {
			list = append(list, s)
		}
	}
	return list
}

// registerAgain writes the entry of an upstream that runs if the store does not hold it.
func (t *testbed) registerAgain(s *sparfake.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers[s.ID] != s {
		return
	}
	key, value := s.Entry()
	if held, ok := t.store.Get(key); !ok || !bytes.Equal(held, value) {
		t.store.Put(key, value)
	}
}
