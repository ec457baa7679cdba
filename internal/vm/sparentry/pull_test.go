package sparentry_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
	"github.com/oleanderspar/oleanderspar/internal/vm/sparentry"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// TestPullsReleaseTheirPermits pulls settings from a VM many times at once and cancels half
// of the requests. Each must release its permit, or later pulls would be refused forever.
func TestPullsReleaseTheirPermits(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	peer := sparcontrol.Dial(v.file.Control, &http.Client{Timeout: timeout})
	var wg conc.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			if i%2 == 0 {
				time.AfterFunc(time.Duration(i)*100*time.Microsecond, cancel)
			}
			_, _ = peer.Pull(ctx, &sparcontrol.PullRequest{}) // refused, cancelled or served
		})
	}
	wg.Wait()
	eventually(t, "two pulls in a row are served, each with its own permit", func() bool {
		for range 2 {
			reply, err := peer.Pull(t.Context(), &sparcontrol.PullRequest{})
			if err != nil || reply.Busy {
				return false
			}
			if delta, err := sparcontrol.DecodeDelta(reply.Share); err != nil || len(delta.Entries) == 0 {
				t.Fatalf("delta %+v, error %v", delta, err)
			}
		}
		return true
	})
}

// TestAcceptedRequestsAreAnswered stops a VM during a survey, which takes long since another
// VM does not respond. The VM accepts the request shortly before it would end and must still
// answer it.
func TestAcceptedRequestsAreAnswered(t *testing.T) {
	s := newSite(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	s.fake.Put("vm/vm-2", []byte(`{"domain":"south","data":"127.0.0.1:1","control":"`+silent.Addr().String()+`"}`))
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	peer := sparcontrol.Dial(v.file.Control, &http.Client{Timeout: timeout})
	v.stop()
	time.Sleep(300 * time.Millisecond) // of the 500 ms that the grace time leaves
	reply, err := peer.Survey(t.Context(), &sparcontrol.SurveyRequest{Id: "a"})
	if err != nil || reply.Id != "a" {
		t.Errorf("reply %v, error %v", reply, err)
	}
	select {
	case <-v.done:
		v.done <- nil // for the cleanup of the test
	case <-time.After(timeout):
		t.Error("the VM did not stop")
	}
}

// unreachable is a platform that a VM can't reach. It counts the calls tried.
type unreachable struct {
	sparentry.Store
	calls *atomic.Uint64
}

// errUnreachable is the error of all calls to it.
const errUnreachable = errors.ConstError("unreachable")

func (u unreachable) refuse() error {
	u.calls.Add(1)
	return errUnreachable
}

// List implements sparentry.Store.
func (u unreachable) List(context.Context) (platform.Listing, error) {
	return platform.Listing{}, u.refuse()
}

// VMs implements sparentry.Store.
func (u unreachable) VMs(context.Context) ([]sparconfig.VM, error) { return nil, u.refuse() }

// Position implements sparentry.Store.
func (u unreachable) Position(context.Context) (sparregistry.Position, error) {
	return sparregistry.Position{}, u.refuse()
}

// Put implements sparentry.Store.
func (u unreachable) Put(context.Context, ...sparregistry.Entry) (sparregistry.Position, error) {
	return sparregistry.Position{}, u.refuse()
}

// Calls implements sparentry.Store.
func (u unreachable) Calls() uint64 { return u.calls.Load() }

// TestSeedsRegisterOthers starts VMs that reach a seed but not the platform: the seed gives them
// settings and registers them. Those that are ready before the seed has to have replied have tried
// no call of their own until then.
func TestSeedsRegisterOthers(t *testing.T) {
	const seedTimeout = 15 // milliseconds after which a VM calls the platform itself
	s := newSite(t)
	control := addr(t)
	seed := s.startAt("vm-1", control, control)
	eventually(t, "ready", seed.ready)
	s.wrap = func(store sparentry.Store) sparentry.Store {
		return unreachable{Store: store, calls: new(atomic.Uint64)}
	}
	var others []*vm
	for _, name := range []string{"vm-2", "vm-3", "vm-4"} {
		others = append(others, s.start(name, control))
	}
	for _, v := range others {
		eventually(t, "ready", v.ready)
		eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/" + v.file.Name); return ok })
		fields, _ := v.log.find("ready")
		if took := fields["took_ms"].(float64); took < seedTimeout && fields["calls"].(float64) > 0 {
			t.Errorf("%s tried %v calls, ready after %v ms", v.file.Name, fields["calls"], took)
		}
	}
}

// TestRegistersItselfWithoutSeeds starts a VM whose only seed does not answer.
func TestRegistersItselfWithoutSeeds(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1", addr(t))
	eventually(t, "ready", v.ready)
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
}

// TestFullCopyOnASlowLink guards against starts that never end: a VM whose platform is away pulls
// settings that take two seconds on the link of its peer.
func TestFullCopyOnASlowLink(t *testing.T) {
	const size, rate = 256_000, 128_000 // bytes, and bytes a second
	s := newSite(t)
	s.fake.SetFault(sparfake.Refuses)
	noise := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise) // never fails; it can't be compressed
	held := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{
		{Key: sparroster.UpstreamPrefix + "i-1", Value: noise, Era: 1, Revision: 5},
	}, sparregistry.Position{Era: 1, Revision: 5})
	p := startPeer(t, held, rate, false)
	v := s.start("vm-1", p.vm.Control)
	eventually(t, "ready", v.ready)
	if n := p.pulls.Load(); n != 1 {
		t.Errorf("%d pulls, want that the first one ends", n)
	}
}

// TestStartBesideOldBuild guards against VMs that can't start beside VMs of a build whose datagrams
// echo no timestamps, while the platform is away.
func TestStartBesideOldBuild(t *testing.T) {
	s := newSite(t)
	s.fake.SetFault(sparfake.Refuses)
	held := sparregistry.Registry{}.WithFullRead([]sparregistry.Entry{
		{Key: sparroster.UpstreamPrefix + "i-1", Value: []byte("{}"), Era: 1, Revision: 5},
	}, sparregistry.Position{Era: 1, Revision: 5})
	p := startPeer(t, held, 0, true)
	v := s.start("vm-1", p.vm.Control)
	eventually(t, "ready", v.ready)
}
