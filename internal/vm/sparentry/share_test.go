package sparentry_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
)

// TestPullsGiveTheirPlacesBack asks a VM for its settings many times at once, half of them
// by callers that hang up. Afterwards there is room for others again.
func TestPullsGiveTheirPlacesBack(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	peer := sparcontrol.Dial(v.file.Control, &http.Client{Timeout: patience})
	var wg conc.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			if i%2 == 0 {
				time.AfterFunc(time.Duration(i)*100*time.Microsecond, cancel)
			}
			_, _ = peer.Pull(ctx, &sparcontrol.PullRequest{}) // busy, given up, or served
		})
	}
	wg.Wait()
	eventually(t, "two are served one after the other, neither in the other's place", func() bool {
		for range 2 {
			reply, err := peer.Pull(t.Context(), &sparcontrol.PullRequest{})
			if err != nil || reply.Busy {
				return false
			}
			if share, err := sparcontrol.DecodeShare(reply.Share); err != nil || len(share.Entries) == 0 {
				t.Fatalf("share %+v, error %v", share, err)
			}
		}
		return true
	})
}

// TestAcceptedRequestsAreAnswered is a planned stop under load: an operator's question that
// takes its time, since another VM is silent, is accepted just before the process ends.
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
	peer := sparcontrol.Dial(v.file.Control, &http.Client{Timeout: patience})
	v.stop()
	time.Sleep(300 * time.Millisecond) // of the 500 that this grace leaves
	reply, err := peer.Survey(t.Context(), &sparcontrol.SurveyRequest{Id: "a"})
	if err != nil || reply.Id != "a" {
		t.Errorf("reply %v, error %v", reply, err)
	}
	select {
	case <-v.done:
		v.done <- nil // for the test's end
	case <-time.After(patience):
		t.Error("the VM does not end")
	}
}

// TestSeedsListOthers starts VMs beside a seed: it lists them, and they call the platform
// neither for their settings nor for their entries.
func TestSeedsListOthers(t *testing.T) {
	s := newSite(t)
	control := free(t)
	seed := s.startAt("vm-1", control, control)
	eventually(t, "ready", seed.ready)
	var others []*vm
	for _, name := range []string{"vm-2", "vm-3", "vm-4"} {
		others = append(others, s.start(name, control))
	}
	for _, v := range others {
		eventually(t, "ready", v.ready)
		eventually(t, "listed", func() bool { _, ok := s.fake.Get("vm/" + v.file.Name); return ok })
		if n := v.store.Calls(); n > 0 {
			t.Errorf("%s made %d calls", v.file.Name, n)
		}
	}
}

// TestListsItselfWithoutSeeds starts a VM whose seed does not answer.
func TestListsItselfWithoutSeeds(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1", free(t))
	eventually(t, "ready", v.ready)
	eventually(t, "listed", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
}
