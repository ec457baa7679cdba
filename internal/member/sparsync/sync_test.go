package sparsync_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparsync"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// ExampleSync starts a VM without seeds, which reads the platform at once.
func ExampleSync() {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, run, 3*time.Second, beat)
	for _, out := range s.Tick(time.Millisecond) {
		if _, ok := out.(sparsync.Read); ok {
			fmt.Println("read")
		}
	}
	s.ReadDone(time.Millisecond, sparsync.Held{At: at(7), Digest: 42}, 4000, 9*time.Millisecond)
	fmt.Println(s.State(), s.Fresh(time.Second), s.Fresh(2*time.Second))
	// Output:
	// read
	// following true false
}

// echo returns the timing of a datagram to a single VM that was sent at a time, as a reply to one
// sent at the same time.
func echo(at time.Duration) sparsync.Timing {
	return sparsync.Timing{Echo: sparsync.Timestamp{Incarnation: run, At: at}}
}

// churn runs the simulation for d with a change every 700 ms.
func (s *sim) churn(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.change()
		s.run(700 * time.Millisecond)
	}
}

func (s *sim) reader() *member {
	readers := s.readers()
	if len(readers) == 0 {
		s.t.Fatal("nobody reads the platform")
	}
	return readers[0]
}

func TestOneReads(t *testing.T) {
	for _, n := range []int{2, 8, 90} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			s := newSim(t, n)
			s.churn(10 * time.Second)
			s.calls = 0
			clear(s.sent)
			s.churn(60 * time.Second)
			if got := len(s.readers()); got != 1 {
				t.Errorf("%d VMs read the platform, want 1", got)
			}
			// One read in each quarter of the bound, and as many again for takeovers.
			if most := 2 * int(60*time.Second/(bound/4)); s.calls > most {
				t.Errorf("%d calls in 60 s, want at most %d", s.calls, most)
			}
			for name, sent := range s.sent {
				if bytes := sent * datagram / 60; bytes > 8000 {
					t.Errorf("%s sends %d bytes a second, want at most 8,000", name, bytes)
				}
			}
		})
	}
}

func TestReaderFails(t *testing.T) {
	faults := []struct {
		name string
		do   func(s *sim, reader *member)
	}{
		{"killed", func(_ *sim, r *member) { r.kill() }},
		{"platform does not respond", func(_ *sim, r *member) { r.silent = true }},
		{"platform refuses calls", func(_ *sim, r *member) { r.refused = true }},
		{"receives no datagrams", func(_ *sim, r *member) { r.unreachable = true }},
		{"cut off from all", func(_ *sim, r *member) { r.partition, r.silent = 1, true }},
		{"cut off from the other VMs", func(_ *sim, r *member) { r.partition = 1 }},
	}
	for _, f := range faults {
		for _, one := range []struct {
			n, size int
		}{{8, smallSettings}, {90, smallSettings}, {90, largeSettings}} {
			t.Run(fmt.Sprintf("%s of %d, %d bytes", f.name, one.n, one.size), func(t *testing.T) {
				s := newSim(t, one.n)
				s.size = one.size
				s.churn(5 * time.Second)
				for range 4 {
					r := s.reader()
					f.do(s, r)
					s.churn(6 * time.Second)
					r.silent, r.refused, r.unreachable, r.partition = false, false, false, 0
					if !r.running {
						r.start()
					}
					s.churn(4 * time.Second)
				}
			})
		}
	}
}

// TestRestoreStopsTheSpread guards against VMs that stay with the settings of an earlier era
// when the platform is restored from an older copy: with and without an outage, beside a killed
// reader, and again before all have settled.
func TestRestoreStopsTheSpread(t *testing.T) {
	for _, one := range []struct {
		n, size int
	}{{8, smallSettings}, {90, smallSettings}, {90, largeSettings}, {300, largeSettings}} {
		t.Run(fmt.Sprintf("%d VMs, %d bytes", one.n, one.size), func(t *testing.T) {
			s := newSim(t, one.n)
			s.size = one.size
			s.churn(6 * time.Second)
			s.restore(5)
			s.churn(4 * time.Second)
			r := s.reader()
			r.kill()
			s.restore(2)
			s.run(time.Second)
			s.restore(1)
			s.churn(6 * time.Second)
			r.start()
			for _, m := range s.vms {
				m.refused = true
			}
			s.run(2 * time.Second)
			s.restore(4)
			for _, m := range s.vms {
				m.refused, m.healthySince = false, s.now
			}
			s.churn(6 * time.Second)
			s.fullPulls = 0
			s.churn(4 * time.Second)
			s.run(bound + time.Second)
			if s.fullPulls > one.n/8 {
				t.Errorf("%d full copies are pulled once all have settled", s.fullPulls)
			}
		})
	}
}

func TestReaderSuspended(t *testing.T) {
	s := newSim(t, 8)
	s.churn(5 * time.Second)
	r := s.reader()
	r.running = false
	s.churn(8 * time.Second)
	r.running, r.healthySince = true, s.now
	if r.sync.Fresh(s.now) {
		t.Error("a VM that was suspended considers its settings fresh")
	}
	s.churn(8 * time.Second)
	if got := len(s.readers()); got != 1 {
		t.Errorf("%d VMs read the platform, want 1", got)
	}
}

// TestPausedVMIsNotFresh guards against VMs that take the age of a notification for that at its
// receipt. The reader notifies the others of a read and is killed; a change follows. One VM is paused
// meanwhile, so the notification waits for it. It must not keep the others from reading, whenever
// it resumes.
func TestPausedVMIsNotFresh(t *testing.T) {
	for _, n := range []int{3, 8} {
		for after := bound / 4; after < bound; after += 90 * time.Millisecond {
			t.Run(fmt.Sprintf("%d VMs, resumed after %v", n, after), func(t *testing.T) {
				s := newSim(t, n)
				s.churn(5 * time.Second)
				for i := range n {
					s.pause(s.vms[i], after)
				}
			})
		}
	}
}

// pause pauses a VM shortly before the reader reads and is killed, and resumes it some time
// after the read.
func (s *sim) pause(sleeper *member, after time.Duration) {
	r := s.reader()
	if r == sleeper {
		return
	}
	s.run(bound / 8)
	sleeper.paused = true
	for calls := s.calls; s.calls == calls; {
		s.run(step)
	}
	s.run(2 * step) // the read and its notifications
	r.kill()
	s.change()
	s.run(after)
	sleeper.paused, sleeper.healthySince = false, s.now
	s.run(2 * bound)
	r.start()
	s.churn(5 * time.Second)
}

// TestAgeOfDatagrams checks the age that a VM takes its settings to have after notifications
// that were under way for a while.
func TestAgeOfDatagrams(t *testing.T) {
	const fresh, received = 10 * time.Millisecond, 5 * time.Second
	peer := sparconfig.VM{Name: "vm-2", Control: "10.0.0.2:1"}
	held := sparsync.Held{At: at(7), Digest: 42}
	for _, c := range []struct {
		name    string
		timing  sparsync.Timing
		wantAge time.Duration
		queries bool
	}{
		{"sent at once", echo(received), fresh, false},
		{"sent two seconds before", echo(received - 2*time.Second), fresh + 2*time.Second, false},
		{"sent a second after the echo arrived", sparsync.Timing{Echo: echo(received - 2*time.Second).Echo, Held: time.Second}, fresh + time.Second, false},
		{"held for longer than possible", sparsync.Timing{Echo: echo(received).Echo, Held: time.Hour}, fresh, false},
		{"no echo", sparsync.Timing{}, received - time.Millisecond, true},
		{"echo of an earlier run", sparsync.Timing{Echo: sparsync.Timestamp{Incarnation: run + 1, At: received}}, received - time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := sparsync.New(sparconfig.VM{Name: "vm-1"}, run, bound, beat)
			s.ReadDone(time.Millisecond, held, smallSettings, time.Millisecond)
			outs := s.Notified(sparsync.Notification{
				From: peer, Reader: "vm-2", Round: 1, At: held.At, Digest: held.Digest, Age: fresh, Timing: c.timing,
			}, received)
			if got := s.Age(received); got != c.wantAge {
				t.Errorf("settings are %v old, want %v", got, c.wantAge)
			}
			queried := false
			for _, out := range outs {
				q, ok := out.(sparsync.SendQuery)
				queried = queried || ok && q.To == peer && q.Query.Timing.Sent.At == received
			}
			if queried != c.queries {
				t.Errorf("queries the sender: %v, want %v", queried, c.queries)
			}
		})
	}
}

func TestHalfKilled(t *testing.T) {
	s := newSim(t, 90)
	s.churn(5 * time.Second)
	for i, m := range s.vms {
		if i%2 == 0 {
			m.kill()
		}
	}
	s.churn(10 * time.Second)
	for _, m := range s.vms {
		if !m.running {
			m.start()
		}
	}
	s.churn(10 * time.Second)
}

func TestDomainPartitioned(t *testing.T) {
	for _, name := range []string{"platform out of reach", "platform reached"} {
		t.Run(name, func(t *testing.T) {
			s := newSim(t, 40)
			s.churn(5 * time.Second)
			for i, m := range s.vms {
				if i%4 == 0 {
					m.partition, m.silent = 1, name == "platform out of reach"
				}
			}
			s.churn(8 * time.Second)
			for _, m := range s.vms {
				m.partition, m.silent = 0, false
			}
			s.churn(8 * time.Second)
		})
	}
}

// TestStartInPartition starts a VM that reaches neither the platform nor any peer but one.
// That peer holds settings and does not know that the VM has restarted.
func TestStartInPartition(t *testing.T) {
	s := newSim(t, 8)
	s.churn(5 * time.Second)
	holder, restarted := s.vms[2], s.vms[5]
	restarted.kill()
	for _, m := range []*member{holder, restarted} {
		m.partition, m.silent = 1, true
	}
	s.run(time.Second)
	restarted.start()
	s.run(2500 * time.Millisecond)
	if !restarted.sync.Synced() || restarted.held != holder.held {
		t.Errorf("the VM is %s with revision %d, want that of its peer, %d", restarted.sync.State(), restarted.held, holder.held)
	}
}

func TestPlatformDown(t *testing.T) {
	s := newSim(t, 90)
	s.churn(5 * time.Second)
	s.calls = 0
	for _, m := range s.vms {
		m.silent = true
	}
	s.run(10 * time.Second)
	// Each VM retries at most once per maximum backoff, and a few times before that.
	if most := 90 * 10; s.calls > most {
		t.Errorf("%d calls while the platform is down, want at most %d", s.calls, most)
	}
	for _, m := range s.vms {
		m.silent = false
	}
	s.churn(10 * time.Second)
}

func TestLostNotifications(t *testing.T) {
	s := newSim(t, 40)
	s.loss = 0.1
	s.churn(40 * time.Second)
}

func TestSettling(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-1"}, run, bound, beat)
	s.ReadFailed(time.Second)
	s.ReadDone(2*time.Second, sparsync.Held{At: at(1)}, smallSettings, 2*time.Second)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{100 * time.Millisecond, true}, {2 * time.Second, true}, {3 * time.Second, false}} {
		if got := s.Settling(2*time.Second + c.after); got != c.want {
			t.Errorf("%v after the platform's recovery: settling is %v", c.after, got)
		}
	}
}

// TestReplacedVMsAreForgotten replaces the registered VM each minute and checks that removed
// VMs do not delay a takeover: the only VM left reads as soon as its settings are old.
func TestReplacedVMsAreForgotten(t *testing.T) {
	s := sparsync.New(sparconfig.VM{Name: "vm-0"}, run, bound, beat)
	now := time.Second
	for n := range 200 {
		now += time.Minute
		s.List([]sparconfig.VM{{Name: fmt.Sprintf("other-%d", n)}}, now)
	}
	s.List(nil, now)
	s.ReadDone(now, sparsync.Held{At: at(1), Digest: 1}, smallSettings, now)
	for _, out := range s.Tick(now + bound/2) {
		if _, ok := out.(sparsync.Read); ok {
			return
		}
	}
	t.Error("the only VM left waits for removed VMs")
}
