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

// settleWithin is how soon VMs must have settled on a restored platform: three heartbeats of an
// upstream and a read, with a margin.
const settleWithin = 2 * timeout

func (s *site) evacuate(domain string) {
	s.fake.Put(sparfake.EvacuationPrefix+domain, []byte("{}"))
}

func (s *site) takeBack(domain string) { s.fake.Remove(sparfake.EvacuationPrefix + domain) }

// evacuated reports whether exactly these domains are evacuated at a VM.
func (v *vm) evacuated(domains ...string) func() bool {
	return func() bool {
		facts := v.facts()
		if facts == nil || len(facts.Evacuations) != len(domains) {
			return false
		}
		for i, e := range facts.Evacuations {
			if e.Domain != domains[i] || !e.Unrecorded {
				return false
			}
		}
		return true
	}
}

func (v *vm) inForce(domain string) int {
	return v.log.count(`"msg":"evacuation in force"`, fmt.Sprintf(`"domain":%q`, domain))
}

func (v *vm) ended(domain string) int {
	return v.log.count(`"msg":"evacuation ended"`, fmt.Sprintf(`"domain":%q`, domain))
}

func (v *vm) settled(era uint64) func() bool {
	return func() bool {
		facts := v.facts()
		return facts != nil && facts.Era == era && facts.Revision > 0 && !facts.Restoring
	}
}

// TestEvacuationReachesVMsBehindPeers guards against new flows in an evacuated domain through a VM
// that is cut off from the platform and hears only other VMs, and checks what the operator sees.
func TestEvacuationReachesVMsBehindPeers(t *testing.T) {
	s := newSite(t)
	control := addr(t)
	first := s.startAt("vm-1", control, control) // a seed registers the others
	eventually(t, "ready", first.ready)
	s.store = addr(t) // nothing listens there
	second := s.start("vm-2", control)
	eventually(t, "both VMs are in the settings", func() bool { return first.log.contains(`"vms":2`) && second.ready() })
	text := func() string { return sparstatus.Read(t.Context(), []string{first.file.Control}).Text() }

	s.evacuate("north")
	for _, v := range []*vm{first, second} {
		within(t, inForceWithin, "in force at "+v.file.Name, v.evacuated("north"))
	}
	second.send(syn(serviceAddr))
	eventually(t, "a new flow is refused", func() bool {
		fields, ok := second.log.find("flow refused")
		return ok && fields["cause"] == "no-upstream" && fields["do"] == "reset"
	})
	eventually(t, "a status line", func() bool {
		got := text()
		return strings.Contains(got, "ok evacuation north revision ") &&
			strings.Contains(got, " in force everywhere, counted 0 flows and maybe older ones") &&
			strings.Contains(got, "call service booking takes no new flows") &&
			strings.Contains(got, "evacuated revision")
	})
	s.takeBack("north")
	for _, v := range []*vm{first, second} {
		within(t, inForceWithin, "ended at "+v.file.Name, v.evacuated())
		if v.inForce("north") != 1 || v.ended("north") != 1 {
			t.Errorf("%s logged %d beginnings and %d ends", v.file.Name, v.inForce("north"), v.ended("north"))
		}
	}
	eventually(t, "no status line", func() bool { return !strings.Contains(text(), "evacuat") })
	second.send(syn(serviceAddr))
	s.receive()
	eventually(t, "both VMs' events", func() bool {
		kinds := map[string]bool{}
		for _, e := range sparevents.Read(t.Context(), []string{first.file.Control}, time.Now().Add(-time.Hour), "").Events {
			kinds[fmt.Sprint(e.VM, " ", e.Kind, " ", e.Subject)] = true
		}
		return kinds["vm-1 evacuated north"] && kinds["vm-2 evacuated north"] && kinds["vm-1 evacuation-ended north"] && kinds["vm-2 evacuation-ended north"]
	})
}

// rewriteAfter is how long operators take to write again what a restore has lost, within the time that
// writers have.
const rewriteAfter = time.Second

// startRegistered returns a site with a VM that is registered.
func startRegistered(t *testing.T) (*site, *vm) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
	return s, v
}

// TestEvacuationLostByRestore restores the platform from a copy that lacks an evacuation. It stays in force if
// the operator asks for it again, and ends otherwise.
func TestEvacuationLostByRestore(t *testing.T) {
	t.Run("it is asked for again", func(t *testing.T) {
		t.Parallel()
		s, v := startRegistered(t)
		older := s.fake.Copy()
		s.evacuate("north")
		within(t, inForceWithin, "in force", v.evacuated("north"))
		s.fake.Restore(older)
		time.Sleep(rewriteAfter)
		s.evacuate("north")
		within(t, settleWithin, "settled", v.settled(2))
		if !v.evacuated("north")() || v.ended("north") != 0 {
			t.Errorf("the evacuation ended %d times", v.ended("north"))
		}
	})
	t.Run("nobody asks again", func(t *testing.T) {
		t.Parallel()
		s, v := startRegistered(t)
		older := s.fake.Copy()
		s.evacuate("north")
		within(t, inForceWithin, "in force", v.evacuated("north"))
		s.fake.Restore(older)
		within(t, settleWithin, "the platform decides", v.evacuated())
	})
}

// TestEvacuationAcrossRestore restores the platform from a copy with an evacuation that was taken back
// since. The operator takes it back again, or asks for it again.
func TestEvacuationAcrossRestore(t *testing.T) {
	takenBack := func(t *testing.T, upstreams int) (*site, *vm) {
		s, v := startRegistered(t)
		s.registerMany(upstreams)
		s.evacuate("north")
		within(t, inForceWithin, "in force", v.evacuated("north"))
		older := s.fake.Copy()
		s.takeBack("north")
		within(t, inForceWithin, "ended", v.evacuated())
		s.fake.Restore(older)
		return s, v
	}
	for _, upstreams := range []int{0, manyUpstreams} { // read in full, and incrementally
		t.Run(fmt.Sprintf("it is asked for again, %d upstreams", 1+upstreams), func(t *testing.T) {
			t.Parallel()
			s, v := takenBack(t, upstreams)
			s.evacuate("north")
			within(t, inForceWithin, "in force again", v.evacuated("north"))
		})
	}
	t.Run("it is taken back again", func(t *testing.T) {
		t.Parallel()
		s, v := takenBack(t, 0)
		time.Sleep(rewriteAfter)
		s.takeBack("north")
		within(t, settleWithin, "settled", v.settled(2))
		if v.inForce("north") != 1 || !v.evacuated()() {
			t.Errorf("the evacuation came into force %d times", v.inForce("north"))
		}
	})
}

// TestEvacuationDuringOutage checks that an outage of the platform ends no evacuation, also for a
// VM that starts meanwhile.
func TestEvacuationDuringOutage(t *testing.T) {
	s := newSite(t)
	first := s.start("vm-1")
	eventually(t, "ready", first.ready)
	s.evacuate("north")
	within(t, inForceWithin, "in force", first.evacuated("north"))
	s.fake.SetFault(sparfake.Refuses)
	second := s.start("vm-2", first.file.Control)
	eventually(t, "ready without the platform", second.ready)
	eventually(t, "the outage is noticed", func() bool { _, ok := first.log.find("dependency lost"); return ok })
	for _, v := range []*vm{first, second} {
		if !v.evacuated("north")() {
			t.Errorf("not in force at %s", v.file.Name)
		}
	}
	s.fake.SetFault(sparfake.NoFault)
	s.takeBack("north")
	for _, v := range []*vm{first, second} {
		within(t, settleWithin, "ended at "+v.file.Name, v.evacuated())
	}
}

// TestTwoEvacuations evacuates two domains, in quick succession with new configurations, and takes
// one back.
func TestTwoEvacuations(t *testing.T) {
	s := newSite(t)
	s.register(0xabc, false, time.Now())
	vms := []*vm{s.start("vm-1"), s.start("vm-2")}
	for _, v := range vms {
		eventually(t, "both VMs are in the settings", func() bool { return v.log.contains(`"vms":2`) })
	}
	for version := range uint64(20) {
		s.route(4 + version)
		if version == 5 {
			s.evacuate("south")
		}
		if version == 10 {
			s.evacuate("north")
		}
	}
	for _, v := range vms {
		within(t, inForceWithin, "both in force at "+v.file.Name, v.evacuated("north", "south"))
	}
	s.takeBack("north")
	for _, v := range vms {
		within(t, inForceWithin, "one in force at "+v.file.Name, v.evacuated("south"))
	}
	vms[0].send(syn(serviceAddr))
	s.receive()
}

// TestOddEvacuations checks that an evacuation is in force whatever its value, and that a key that
// names no possible domain leaves the others in force.
func TestOddEvacuations(t *testing.T) {
	for name, value := range sparfake.OddEntries() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t)
			v := s.start("vm-1")
			eventually(t, "ready", v.ready)
			s.fake.Put(sparfake.EvacuationPrefix+"south", value)
			within(t, inForceWithin, "in force", v.evacuated("south"))
			s.takeBack("south")
			within(t, inForceWithin, "ended", v.evacuated())
		})
	}
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	for _, domain := range []string{"", strings.Repeat("d", 10_000)} {
		s.evacuate(domain)
	}
	s.evacuate("south")
	within(t, inForceWithin, "in force beside odd keys", v.evacuated("south"))
	eventually(t, "a line for an odd key", func() bool { _, ok := v.log.find("entry left out"); return ok })
	for _, line := range v.log.lines() {
		if len(line) > 2000 {
			t.Errorf("a log line of %d bytes", len(line))
		}
	}
	v.send(syn(serviceAddr))
	s.receive()
}
