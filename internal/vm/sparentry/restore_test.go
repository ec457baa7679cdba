package sparentry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparentry"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// inForceWithin is how soon a change must be in force, as the settings of the VM say.
const inForceWithin = 3 * time.Second

// manyUpstreams is a number of upstreams whose settings are read incrementally.
const manyUpstreams = 300

// within waits until holds returns true and fails the test after limit.
func within(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", limit, what)
}

// register writes the entry of an upstream.
func (s *site) register(id uint64, draining bool, born time.Time) (key string) {
	key, entry := sparfake.Entry(id, "booking", "north", s.upstream.LocalAddr().String(), draining, born)
	s.fake.Put(key, entry)
	return key
}

// registerMany registers upstreams that nobody reaches.
func (s *site) registerMany(n int) {
	for i := range n {
		key, entry := sparfake.Entry(uint64(0x9000+i), "booking", "south", "127.0.0.1:9", false, time.Now())
		s.fake.Put(key, entry)
	}
}

// upstreamLine reports whether a line of the log is about an upstream and contains text.
func (v *vm) upstreamLine(id uint64, text string) func() bool {
	return func() bool { return v.log.count(fmt.Sprintf(`"upstream":"%x"`, id), text) > 0 }
}

// count returns the number of lines that contain both texts.
func (l *logBuffer) count(text, other string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range strings.Split(l.text.String(), "\n") {
		if strings.Contains(line, text) && strings.Contains(line, other) {
			n++
		}
	}
	return n
}

func (v *vm) version(n int) func() bool {
	return func() bool { return v.log.contains(fmt.Sprintf(`"version":%d`, n)) }
}

// TestChangesHiddenByRestore guards against changes that never come into force because a
// restored platform gives out their revisions a second time.
func TestChangesHiddenByRestore(t *testing.T) {
	const id = 0xabc
	born := time.Now()
	changes := []struct {
		name   string
		lost   func(s *site) // changes before the restore, which loses them
		after  func(s *site) // changes after it, at the same revisions
		before func(v *vm) func() bool
		want   func(v *vm) func() bool
		limit  time.Duration
	}{
		{
			"operator's document",
			func(s *site) { s.route(4); s.route(5) },
			func(s *site) { s.route(5); s.route(6) },
			func(v *vm) func() bool { return v.version(5) },
			func(v *vm) func() bool { return v.version(6) },
			inForceWithin,
		},
		{
			"upstream drains",
			func(s *site) { s.register(id, false, born) },
			func(s *site) { s.register(id, true, born) },
			func(v *vm) func() bool { return v.upstreamLine(id, "upstream listed") },
			func(v *vm) func() bool { return v.upstreamLine(id, `"draining":true`) },
			inForceWithin,
		},
		{
			"upstream restarts",
			func(s *site) { s.register(id, true, born) },
			func(s *site) { s.register(id, false, born.Add(time.Second)) },
			func(v *vm) func() bool { return v.upstreamLine(id, `"draining":true`) },
			func(v *vm) func() bool { return v.upstreamLine(id, `"draining":false`) },
			inForceWithin,
		},
		{
			"upstream leaves",
			func(s *site) { s.register(id, false, born) },
			func(*site) {},
			func(v *vm) func() bool { return v.upstreamLine(id, "upstream listed") },
			func(v *vm) func() bool { return v.upstreamLine(id, "upstream left") },
			inForceWithin + 3*time.Second, // a missing entry is given time to come back
		},
	}
	for _, c := range changes {
		for _, upstreams := range []int{0, manyUpstreams} {
			t.Run(fmt.Sprintf("%s, %d upstreams", c.name, 1+upstreams), func(t *testing.T) {
				t.Parallel()
				s := newSite(t)
				s.registerMany(upstreams)
				v := s.start("vm-1")
				eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
				older := s.fake.Copy()
				c.lost(s)
				eventually(t, "in force before the restore", c.before(v))
				s.fake.Restore(older)
				c.after(s)
				within(t, c.limit, "in force after the restore", c.want(v))
			})
		}
	}
}

// facts returns what a VM says of itself, or nil if it does not answer.
func (v *vm) facts() *sparcontrol.FactsReply {
	facts, err := sparcontrol.Dial(v.file.Control, http.DefaultClient).Facts(v.site.t.Context(), &sparcontrol.FactsRequest{})
	if err != nil {
		return nil
	}
	return facts
}

// TestConfigurationGoesBack guards against an operator's document that changes back after a
// restore: the operator writes nothing again for longer than the VM keeps what it knows.
func TestConfigurationGoesBack(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
	older := s.fake.Copy()
	s.route(4)
	eventually(t, "version 4 in force", v.version(4))
	s.fake.Restore(older)
	within(t, 2*timeout, "settled on the restored platform", func() bool { return v.log.contains("settled on the restored platform") })
	eventually(t, "a log line that says what is kept", func() bool {
		fields, ok := v.log.find("entry left out")
		return ok && fields["key"] == "routing" && strings.Contains(fmt.Sprint(fields["cause"]), "version 3")
	})
	if n := v.log.count("settings in force", `"version":3`); n > 1 {
		t.Errorf("version 3 came into force %d times", n)
	}
	s.route(5)
	within(t, inForceWithin, "version 5 in force", v.version(5))
}

// TestUnlistedByRestore guards against VMs that are missing on the platform after a restore from
// a copy of a time before they registered, and that starting VMs don't find.
func TestUnlistedByRestore(t *testing.T) {
	const all = `"upstreams":21`
	s := newSite(t)
	older := s.fake.Copy()
	vms := []*vm{s.start("vm-1"), s.start("vm-2")}
	registered := func(name string) func() bool {
		return func() bool { _, ok := s.fake.Get("vm/" + name); return ok }
	}
	for _, v := range vms {
		eventually(t, "all VMs are in the settings", func() bool { return v.log.contains(`"vms":2`) })
	}
	for i := range 20 { // the revisions that the VMs have seen are out of reach for long
		s.register(uint64(0xa00+i), false, time.Now())
	}
	eventually(t, "all upstreams in force", func() bool { return vms[0].log.contains(all) && vms[1].log.contains(all) })
	s.fake.Restore(older)
	for _, v := range vms {
		within(t, inForceWithin, v.file.Name+" registered again", registered(v.file.Name))
	}
}

// TestStartEndsWhatOthersKeep guards against a VM that starts right after a restore, knows only
// what the restored platform shows, and makes the others give up an upstream that is about to
// register again.
func TestStartEndsWhatOthersKeep(t *testing.T) {
	const id = 0xabc
	s := newSite(t)
	first := s.start("vm-1")
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
	older := s.fake.Copy()
	born := time.Now()
	s.register(id, false, born)
	eventually(t, "the upstream is in force", first.upstreamLine(id, "upstream listed"))
	s.fake.Restore(older)
	control := addr(t)
	second := s.startAt("vm-2", control, first.file.Control, control)
	eventually(t, "the second VM is ready", second.ready)
	time.Sleep(1500 * time.Millisecond) // upstreams register again within two seconds
	s.register(id, false, born)
	for _, v := range []*vm{first, second} {
		within(t, 2*inForceWithin, "settled", func() bool {
			facts := v.facts()
			return facts != nil && facts.Era == 2 && !facts.Restoring
		})
		if v.upstreamLine(id, "upstream left")() {
			t.Errorf("%s gave the upstream up", v.file.Name)
		}
	}
}

// slowStore is a platform whose first listing reaches the VM only once it is released.
type slowStore struct {
	sparentry.Store
	first   sync.Once
	read    chan struct{} // closed when the platform has answered
	release chan struct{}
}

func (s *slowStore) List(ctx context.Context) (l platform.Listing, err error) {
	l, err = s.Store.List(ctx)
	s.first.Do(func() {
		close(s.read)
		<-s.release
	})
	return l, err
}

// TestLateReadBringsBackLostState guards against a response that left the platform before its
// restore and arrives when the VM is in the new era already, through a peer.
func TestLateReadBringsBackLostState(t *testing.T) {
	s := newSite(t)
	first := s.start("vm-1")
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
	older := s.fake.Copy()
	lost := s.register(0xabc, false, time.Now())
	slow := &slowStore{read: make(chan struct{}), release: make(chan struct{})}
	s.wrap = func(store sparentry.Store) sparentry.Store {
		slow.Store = store
		return slow
	}
	control := addr(t)
	second := s.startAt("vm-2", control, first.file.Control, control)
	<-slow.read
	s.fake.Restore(older)
	s.route(4)
	eventually(t, "the first VM has settled", func() bool {
		facts := first.facts()
		return facts != nil && facts.Era == 2 && !facts.Restoring
	})
	eventually(t, "the second VM has the settings of the first", second.version(4))
	close(slow.release)
	eventually(t, "the late read is left out", func() bool { return second.log.contains("read of an earlier era left out") })
	if second.log.contains(lost[strings.LastIndex(lost, "-")+1:]) {
		t.Error("an upstream that the restore has lost came back")
	}
}

// TestFollowersStayUnsettled guards against VMs that keep what they know of an earlier era for
// good, since no later change makes them ask for anything: an upstream had left, the restored
// platform shows it for a while, and nothing else happens.
func TestFollowersStayUnsettled(t *testing.T) {
	const id = 0xabc
	s := newSite(t)
	key := s.register(id, false, time.Now())
	vms := []*vm{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
	for _, v := range vms {
		eventually(t, "all VMs are in the settings", func() bool { return v.log.contains(`"vms":3`) })
	}
	older := s.fake.Copy()
	s.fake.Remove(key)
	for _, v := range vms {
		eventually(t, "the upstream has left", v.upstreamLine(id, "upstream left"))
	}
	s.fake.Restore(older)
	for _, v := range vms {
		eventually(t, "the restore is noticed", func() bool {
			facts := v.facts()
			return facts != nil && facts.Era == 2 && facts.Restoring
		})
	}
	s.fake.Remove(key)
	for _, v := range vms {
		eventually(t, "settled", func() bool {
			facts := v.facts()
			return facts != nil && facts.Revision > 0 && !facts.Restoring
		})
		if v.log.count(fmt.Sprintf(`"upstream":"%x"`, id), "upstream listed") > 1 {
			t.Errorf("%s used an upstream that had left", v.file.Name)
		}
	}
}
