package sparentry_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/platform"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

func TestReadyInFewCalls(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	fields, ok := v.log.find("ready")
	if calls, _ := fields["calls"].(float64); !ok || calls > 3 {
		t.Errorf("ready after %v calls, want at most 3", fields["calls"])
	}
	eventually(t, "listed", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
}

func TestOpeningReachesItsUpstream(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	v.send(opening(front))
	got := s.receive()
	if len(got) != platform.TagBytes+platform.HeadBytes || binary.BigEndian.Uint64(got) != 0x7f3a {
		t.Fatalf("datagram %x", got)
	}
	segment, err := platform.Parse(got[platform.TagBytes:])
	if err != nil || segment.Cookie == 0 {
		t.Errorf("cookie %x, error %v", segment.Cookie, err)
	}
	eventually(t, "a line for the opening", func() bool {
		fields, ok := v.log.find("opening")
		return ok && fields["flow"] == "127.0.0.1:40001>198.18.0.1:8080" && fields["upstream"] == "7f3a" && fields["cause"] == "placed"
	})
}

// TestEarlyPacketsWait sends an opening before the VM knows settings.
func TestEarlyPacketsWait(t *testing.T) {
	s := newSite(t)
	s.fake.Slow(300 * time.Millisecond)
	v := s.start("vm-1")
	v.send(opening(front))
	if v.ready() {
		t.Error("ready without settings")
	}
	s.receive()
}

func TestRefusedCallerGetsAReset(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	data := netip.MustParseAddrPort(v.file.Data)
	caller, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: int(data.Port())})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	b := opening(sparflow.MakeEndpoint(front.IP(), 9999))
	binary.BigEndian.PutUint32(b[12:], 0x7f000002)
	v.send(b)
	_ = caller.SetReadDeadline(time.Now().Add(patience))
	got := make([]byte, 100)
	n, err := caller.Read(got)
	if err != nil || n != platform.HeadBytes || got[30] != 16 {
		t.Errorf("%x, error %v, want a reset", got[:n], err)
	}
	eventually(t, "a line for the refusal", func() bool {
		fields, ok := v.log.find("flow refused")
		return ok && fields["cause"] == "no-route" && fields["do"] == "reset"
	})
}

// TestBadInput sends what no caller or VM sends, and then an opening.
func TestBadInput(t *testing.T) {
	s := newSite(t)
	s.fake.Put(sparfake.ServerPrefix+"i-1", []byte{0xff, 0x00})
	s.fake.Put(sparfake.ServerPrefix+"i-2", []byte(`{"service":7}`))
	s.fake.Put("vm/", []byte(`{}`))
	s.fake.Put("vm/vm-2", []byte(`{"control":"nowhere"}`))
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	for _, b := range [][]byte{{0}, make([]byte, 31), make([]byte, 3000), []byte("GET / HTTP/1.1\r\n\r\n")} {
		v.send(b)
	}
	control, err := net.Dial("udp4", v.file.Control)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = control.Close() }()
	for _, b := range [][]byte{{0}, []byte("hello"), {0x1a, 0x02, 0x08, 0x01}, {0x22, 0x00}, {0x2a, 0x00}} {
		if _, err := control.Write(b); err != nil {
			t.Fatal(err)
		}
	}
	v.send(opening(front))
	s.receive()
	if _, ok := v.log.find("entry left out"); !ok {
		t.Error("no line for an entry that cannot be read")
	}
	if _, ok := v.log.find("packet refused"); !ok {
		t.Error("no line for a packet that cannot be read")
	}
}

func TestSettingsSpreadWithOneReader(t *testing.T) {
	s := newSite(t)
	vms := []*vm{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
	for _, v := range vms {
		eventually(t, "ready", v.ready)
	}
	eventually(t, "one VM reads", func() bool {
		readers := 0
		for _, v := range vms {
			if fields, ok := v.log.find("settings role"); ok && fields["now"] != "" {
				readers++
			}
		}
		return readers == len(vms)
	})
	s.route(4)
	began := time.Now()
	for _, v := range vms {
		eventually(t, "version 4 everywhere", func() bool {
			v.log.mu.Lock()
			defer v.log.mu.Unlock()
			return strings.Contains(v.log.text.String(), `"version":4`)
		})
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("in force everywhere after %v, want 3 s", took)
	}
}

// TestStartWhilePlatformIsAway learns settings from a seed.
func TestStartWhilePlatformIsAway(t *testing.T) {
	s := newSite(t)
	first := s.start("vm-1")
	eventually(t, "ready", first.ready)
	s.fake.Fault(sparfake.Resets)
	second := s.start("vm-2", first.file.Control)
	eventually(t, "ready without the platform", second.ready)
	eventually(t, "a line for the lost dependency", func() bool { _, ok := second.log.find("dependency lost"); return ok })
	s.fake.Fault(sparfake.Sound)
	eventually(t, "a line for the regained dependency", func() bool { _, ok := second.log.find("dependency regained"); return ok })
}

// TestPlatformRegainedThroughAPeer starts a VM that does not reach the platform. It says so,
// and that another VM tells it what the platform holds.
func TestPlatformRegainedThroughAPeer(t *testing.T) {
	s := newSite(t)
	first := s.start("vm-1")
	eventually(t, "ready", first.ready)
	s.store = free(t) // nobody answers there
	second := s.start("vm-2", first.file.Control)
	eventually(t, "a line for the lost dependency", func() bool { _, ok := second.log.find("dependency lost"); return ok })
	eventually(t, "a line for the regained dependency", func() bool {
		fields, ok := second.log.find("dependency regained")
		return ok && fields["through"] == "vm-1"
	})
}

// TestLapsedEntriesAreKept takes an upstream's entry away while the platform is down.
func TestLapsedEntriesAreKept(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	s.fake.Fault(sparfake.Refuses)
	eventually(t, "the outage is noticed", func() bool { _, ok := v.log.find("dependency lost"); return ok })
	s.fake.Remove(s.key)
	s.route(4)
	s.fake.Fault(sparfake.Sound)
	eventually(t, "the missing upstream is kept", func() bool {
		_, ok := v.log.find("missing upstreams kept while the platform settles")
		return ok
	})
	reached, err := v.store.Revision(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	facts, err := sparcontrol.Dial(v.file.Control, http.DefaultClient).Facts(t.Context(), &sparcontrol.FactsRequest{})
	if err != nil || facts.Revision >= reached {
		t.Errorf("claims revision %d with an upstream that has no entry at %d, error %v", facts.GetRevision(), reached, err)
	}
	v.send(opening(front))
	s.receive()
	eventually(t, "the upstream is taken for gone in the end", func() bool { _, ok := v.log.find("upstream left"); return ok })
}

// TestLargeSettingsAreReadByChange lists many upstreams, and then changes some while the
// platform tells of them, keeps them back, and drops its history.
func TestLargeSettingsAreReadByChange(t *testing.T) {
	s := newSite(t)
	for i := range 300 {
		key, entry := sparfake.Entry(uint64(0x9000+i), "booking", "north", "127.0.0.1:9", false, time.Now())
		s.fake.Put(key, entry)
	}
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	eventually(t, "listed", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
	has := func(version int) func() bool {
		return func() bool {
			v.log.mu.Lock()
			defer v.log.mu.Unlock()
			return strings.Contains(v.log.text.String(), fmt.Sprintf(`"version":%d`, version))
		}
	}
	served := s.fake.Served()
	s.route(4)
	eventually(t, "version 4", has(4))
	if more := s.fake.Served() - served; more > 20_000 {
		t.Errorf("%d bytes read for one change, want less than everything", more)
	}
	s.fake.Fault(sparfake.Hides)
	s.route(5)
	eventually(t, "version 5 though the platform keeps it back", has(5))
	if _, ok := v.log.find("changes incomplete, everything is read"); !ok {
		t.Error("no line for changes that were kept back")
	}
	s.fake.Fault(sparfake.Sound)
	s.fake.Compact()
	s.route(6)
	eventually(t, "version 6 though the history is gone", has(6))
	s.fake.Remove(s.key)
	eventually(t, "the upstream is gone", func() bool { _, ok := v.log.find("upstream left"); return ok })
}

// TestOwnListingProvesNothing writes the listing of this VM at a revision between two
// others, and checks that no entry is lost by it.
func TestOwnListingProvesNothing(t *testing.T) {
	s := newSite(t)
	for i := range 6 {
		s.start(fmt.Sprintf("vm-%d", i))
	}
	for i := range 6 {
		eventually(t, "every VM is listed", func() bool { _, ok := s.fake.Get(fmt.Sprintf("vm/vm-%d", i)); return ok })
	}
	time.Sleep(2500 * time.Millisecond) // two tries to list, had one failed
	calls := s.fake.Calls()
	time.Sleep(time.Second)
	if more := s.fake.Calls() - calls; more > 6 {
		t.Errorf("%d calls in a second of calm, want the reader's 1 or 2", more)
	}
}

// TestRemovedListingComesBack takes the entry of a VM that lives out of the platform.
func TestRemovedListingComesBack(t *testing.T) {
	s := newSite(t)
	s.start("vm-1")
	listed := func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok }
	eventually(t, "listed", listed)
	time.Sleep(time.Second) // a reading, in which the VM sees its entry
	s.fake.Remove("vm/vm-1")
	eventually(t, "listed again", listed)
}

func TestGracefulStop(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	v.stop()
	eventually(t, "not ready", func() bool { return !v.ready() })
	v.send(opening(front)) // the fabric has not left yet
	s.receive()
	eventually(t, "stopped", func() bool { _, ok := v.log.find("stop"); return ok })
}

// TestTurns tells both VMs of a failure domain to stop at once: the second takes packets
// until the first has had time to come back.
func TestTurns(t *testing.T) {
	s := newSite(t)
	s.grace = 6
	first, second := s.start("vm-1"), s.start("vm-2")
	for _, v := range []*vm{first, second} {
		eventually(t, "both know each other", func() bool {
			v.log.mu.Lock()
			defer v.log.mu.Unlock()
			return strings.Contains(v.log.text.String(), `"vms":2`)
		})
	}
	first.stop()
	second.stop()
	eventually(t, "the first refuses", func() bool { return !first.ready() })
	if !second.ready() {
		t.Error("both refuse")
	}
	eventually(t, "the first stopped, as the fabric probes it", func() bool {
		_, ok := first.log.find("stop")
		return ok || first.ready()
	})
	if !second.ready() {
		t.Error("the second refuses while the first is away")
	}
	eventually(t, "the second refuses", func() bool { return !second.ready() })
}

func TestReload(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	file := v.file
	file.Seeds = []string{"127.0.0.1:9"}
	v.reload <- file
	eventually(t, "a line for the reload", func() bool {
		fields, ok := v.log.find("reload")
		return ok && fields["seeds"] == float64(1)
	})
}

func TestMetrics(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	v.send(opening(front))
	eventually(t, "metrics", func() bool {
		r, err := http.Get("http://" + v.file.Control + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		var b bytes.Buffer
		_, _ = b.ReadFrom(r.Body)
		return strings.Contains(b.String(), `oleanderspar_packets{cause="placed"} 1`) && strings.Contains(b.String(), "oleanderspar_settings_version 3")
	})
}
