package sparentry_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparevents"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// TestStatusFollowsState reads the status while an upstream drains, the platform fails and
// a VM stops.
func TestStatusFollowsState(t *testing.T) {
	s := newSite(t)
	first, second := s.start("vm-1"), s.start("vm-2")
	eventually(t, "both ready", func() bool { return first.ready() && second.ready() })
	text := func() string { return sparstatus.Read(t.Context(), []string{first.file.Control}).Text() }
	has := func(line string) func() bool {
		return func() bool { return strings.Contains(text(), line) }
	}
	eventually(t, "both VMs answer", has("answered 2 of 2 VMs"))
	eventually(t, "the service is in force", has("ok service booking revision"))
	eventually(t, "the upstream serves", has("ok upstream booking "+s.upstream.LocalAddr().String()+" serving"))

	key, entry := sparfake.Entry(0x7f3a, "booking", "north", s.upstream.LocalAddr().String(), true, time.Now())
	s.fake.Put(key, entry)
	eventually(t, "the upstream drains", has("draining revision"))
	if strings.Contains(text(), "drained") {
		t.Error("an upstream is reported as drained, which no VM can know")
	}
	s.fake.Put(sparfake.ServerPrefix+"i-bad", []byte("{}"))
	eventually(t, "an invalid entry is reported", has("call service upstream/i-bad"))

	s.fake.SetFault(sparfake.Refuses)
	eventually(t, "the platform is unreachable", has("platform unknown, the last call of every VM failed"))
	second.stop()
	eventually(t, "a VM leaves", has("vm vm-2 answered as leaving"))
	eventually(t, "a VM does not answer", has("vm vm-2 unknown, did not answer"))
}

// TestTimeline checks that the timeline has the events of both VMs.
func TestTimeline(t *testing.T) {
	s := newSite(t)
	first, second := s.start("vm-1"), s.start("vm-2")
	eventually(t, "both ready", func() bool { return first.ready() && second.ready() })
	eventually(t, "events of both", func() bool {
		timeline := sparevents.Read(t.Context(), []string{first.file.Control}, time.Now().Add(-time.Hour), "")
		kinds := map[string]bool{}
		for _, e := range timeline.Events {
			kinds[fmt.Sprint(e.VM, " ", e.Kind)] = true
		}
		return kinds["vm-1 in-force"] && kinds["vm-2 in-force"] && kinds["vm-1 upstream listed"]
	})
}
