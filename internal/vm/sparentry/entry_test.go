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

	"github.com/sourcegraph/conc"

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
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
}

func TestSYNReachesUpstream(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	v.send(syn(serviceAddr))
	got := s.receive()
	if len(got) != platform.TagBytes+platform.HeaderBytes || binary.BigEndian.Uint64(got) != 0x7f3a {
		t.Fatalf("datagram %x", got)
	}
	segment, err := platform.Parse(got[platform.TagBytes:])
	if err != nil || segment.Cookie == 0 {
		t.Errorf("cookie %x, error %v", segment.Cookie, err)
	}
	eventually(t, "a log line for the SYN", func() bool {
		fields, ok := v.log.find("opening")
		return ok && fields["flow"] == "127.0.0.1:40001>198.18.0.1:8080" && fields["upstream"] == "7f3a" && fields["cause"] == "placed"
	})
}

// TestEarlyPacketsAreQueued sends a SYN before the VM has settings.
func TestEarlyPacketsAreQueued(t *testing.T) {
	s := newSite(t)
	s.fake.SetDelay(300 * time.Millisecond)
	v := s.start("vm-1")
	v.send(syn(serviceAddr))
	if v.ready() {
		t.Error("ready without settings")
	}
	s.receive()
}

func TestRefusedClientGetsReset(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	data := netip.MustParseAddrPort(v.file.Data)
	client, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: int(data.Port())})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	b := syn(sparflow.MakeEndpoint(serviceAddr.IP(), 9999))
	binary.BigEndian.PutUint32(b[12:], 0x7f000002)
	v.send(b)
	_ = client.SetReadDeadline(time.Now().Add(timeout))
	got := make([]byte, 100)
	n, err := client.Read(got)
	if err != nil || n != platform.HeaderBytes || got[30] != 16 {
		t.Errorf("%x, error %v, want a reset", got[:n], err)
	}
	eventually(t, "a log line for the refusal", func() bool {
		fields, ok := v.log.find("flow refused")
		return ok && fields["cause"] == "no-route" && fields["do"] == "reset"
	})
}

// TestPausedVMRefusesNothing guards against refusals by settings that were fresh before a pause.
// Packets wait for the VM while it is paused for longer than settings are fresh, and others come once it has
// caught up, while the platform still refuses its reads.
func TestPausedVMRefusesNothing(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	s.fake.SetFault(sparfake.Refuses)
	unknown := syn(sparflow.MakeEndpoint(serviceAddr.IP(), 9999))
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := v.running.Pause(t.Context(), 2*time.Second); err != nil {
			t.Error(err)
		}
	})
	time.Sleep(time.Second)
	for range 100 {
		v.send(unknown)
	}
	wg.Wait()
	eventually(t, "the packets that waited are dropped", func() bool { return v.log.contains(`"cause":"stale"`) })
	eventually(t, "later ones are dropped", func() bool {
		v.send(unknown)
		return v.log.contains(`"cause":"not-fresh"`)
	})
	if _, ok := v.log.find("flow refused"); ok && v.log.contains(`"cause":"no-route"`) {
		t.Error("a flow is refused by settings from before the pause")
	}
}

// TestLateNotificationIsLogged pauses a VM while a notification waits for it. The log says how long.
func TestLateNotificationIsLogged(t *testing.T) {
	s := newSite(t)
	reader := s.start("vm-1")
	eventually(t, "ready", reader.ready)
	v := s.start("vm-2", reader.file.Control)
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-2"); return ok })
	eventually(t, "a log line for a late notification", func() bool {
		for _, one := range []*vm{reader, v} {
			if err := one.running.Pause(t.Context(), 1200*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			if fields, ok := one.log.find("notification was late"); ok {
				return fields["under_way_ms"].(float64) >= 500
			}
		}
		return false
	})
}

// TestInvalidInput sends invalid packets, control datagrams and platform entries, and checks
// that a SYN still reaches its upstream.
func TestInvalidInput(t *testing.T) {
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
	v.send(syn(serviceAddr))
	s.receive()
	if _, ok := v.log.find("entry left out"); !ok {
		t.Error("no log line for an invalid entry")
	}
	if _, ok := v.log.find("packet refused"); !ok {
		t.Error("no log line for an invalid packet")
	}
}

// TestOddEntries guards against VMs that end, or no longer follow the platform, since another writer
// has left an odd entry.
func TestOddEntries(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	version := 3
	for name, value := range sparfake.OddEntries() {
		t.Run(name, func(t *testing.T) {
			for _, key := range []string{sparfake.ServerPrefix + "i-7f3b", "vm/vm-2", "other/i-1"} {
				s.fake.Put(key, value)
			}
			version++
			s.route(uint64(version))
			eventually(t, "the next version is in force", func() bool { return v.log.contains(fmt.Sprintf(`"version":%d,`, version)) })
			v.send(syn(serviceAddr))
			s.receive()
			for _, line := range v.log.lines() {
				if len(line) > 2000 {
					t.Errorf("a log line of %d bytes", len(line))
				}
			}
			late := s.start(fmt.Sprintf("late-%d", version))
			eventually(t, "a VM starts beside it", late.ready)
			late.stop() // each VM reads and decodes the odd entries again and again
		})
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
		eventually(t, "version 4 everywhere", func() bool { return v.log.contains(`"version":4`) })
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("in force everywhere after %v, want 3 s", took)
	}
}

// TestStartWithoutPlatform starts a VM during an outage of the platform. It gets its settings
// from a seed.
func TestStartWithoutPlatform(t *testing.T) {
	s := newSite(t)
	first := s.start("vm-1")
	eventually(t, "ready", first.ready)
	s.fake.SetFault(sparfake.Resets)
	second := s.start("vm-2", first.file.Control)
	eventually(t, "ready without the platform", second.ready)
	eventually(t, "a log line for the lost dependency", func() bool { _, ok := second.log.find("dependency lost"); return ok })
	s.fake.SetFault(sparfake.NoFault)
	eventually(t, "a log line for the regained dependency", func() bool { _, ok := second.log.find("dependency regained"); return ok })
}

// TestPlatformRegainedThroughPeer starts a VM that cannot reach the platform. It logs that,
// and then that it gets the settings of the platform through another VM.
func TestPlatformRegainedThroughPeer(t *testing.T) {
	s := newSite(t)
	first := s.start("vm-1")
	eventually(t, "ready", first.ready)
	s.store = addr(t) // nothing listens there
	second := s.start("vm-2", first.file.Control)
	eventually(t, "a log line for the lost dependency", func() bool { _, ok := second.log.find("dependency lost"); return ok })
	eventually(t, "a log line for the regained dependency", func() bool {
		fields, ok := second.log.find("dependency regained")
		return ok && fields["through"] == "vm-1"
	})
}

// TestExpiredEntriesAreKept removes the entry of a live upstream during an outage of the
// platform, as when its lease expires. The VM keeps the upstream for a while, but must not
// claim the revision at which the entry is missing.
func TestExpiredEntriesAreKept(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	s.fake.SetFault(sparfake.Refuses)
	eventually(t, "the outage is noticed", func() bool { _, ok := v.log.find("dependency lost"); return ok })
	s.fake.Remove(s.key)
	s.route(4)
	s.fake.SetFault(sparfake.NoFault)
	eventually(t, "the missing upstream is kept", func() bool {
		_, ok := v.log.find("missing upstreams kept while the platform settles")
		return ok
	})
	reached, err := v.store.Position(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	facts, err := sparcontrol.Dial(v.file.Control, http.DefaultClient).Facts(t.Context(), &sparcontrol.FactsRequest{})
	if err != nil || facts.Revision >= reached.Revision {
		t.Errorf("revision %d claimed, but the upstream kept has no entry at revision %d, error %v", facts.GetRevision(), reached, err)
	}
	v.send(syn(serviceAddr))
	s.receive()
	eventually(t, "the upstream is removed in the end", func() bool { _, ok := v.log.find("upstream left"); return ok })
}

// TestRestoredPlatformIsLogged restores the platform from an older copy. The log says how far
// it went back, how many entries are kept, and until when.
func TestRestoredPlatformIsLogged(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
	older := s.fake.Copy()
	s.route(4)
	eventually(t, "version 4 in force", func() bool { return v.log.contains(`"version":4`) })
	s.fake.Restore(older)
	eventually(t, "a log line for the lost change", func() bool {
		fields, ok := v.log.find("platform went back")
		return ok && fields["before_era"] == 1.0 && fields["era"] == 2.0 && fields["before"].(float64) > fields["revision"].(float64)
	})
	eventually(t, "a log line for the new era", func() bool {
		fields, ok := v.log.find("platform was restored from an older copy")
		return ok && fields["source"] == "platform" && fields["held"].(float64) > fields["revision"].(float64)
	})
	eventually(t, "a log line for the document that is kept", func() bool {
		fields, ok := v.log.find("entries kept that the restored platform has lost")
		return ok && fields["later"] == 1.0 && fields["missing"] == 0.0
	})
	eventually(t, "a log line for the end of that", func() bool {
		fields, ok := v.log.find("settled on the restored platform")
		return ok && fields["later"] == 1.0
	})
}

// TestLargeSettingsAreReadIncrementally registers many upstreams and then makes changes: with
// a correct platform, with one that omits the latest change, and with one that has dropped
// its history.
func TestLargeSettingsAreReadIncrementally(t *testing.T) {
	s := newSite(t)
	for i := range 300 {
		key, entry := sparfake.Entry(uint64(0x9000+i), "booking", "north", "127.0.0.1:9", false, time.Now())
		s.fake.Put(key, entry)
	}
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	eventually(t, "registered", func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok })
	has := func(version int) func() bool {
		return func() bool { return v.log.contains(fmt.Sprintf(`"version":%d`, version)) }
	}
	served := s.fake.BytesServed()
	s.route(4)
	eventually(t, "version 4", has(4))
	if more := s.fake.BytesServed() - served; more > 20_000 {
		t.Errorf("%d bytes read for one change, want less than a full read", more)
	}
	s.fake.SetFault(sparfake.HidesLatest)
	s.route(5)
	eventually(t, "version 5 although the platform omits the change", has(5))
	if _, ok := v.log.find("changes incomplete, everything is read"); !ok {
		t.Error("no log line for omitted changes")
	}
	s.fake.SetFault(sparfake.NoFault)
	s.fake.Compact()
	s.route(6)
	eventually(t, "version 6 although the history was dropped", has(6))
	s.fake.Remove(s.key)
	eventually(t, "the upstream is removed", func() bool { _, ok := v.log.find("upstream left"); return ok })
}

// TestOwnRegistrationKeepsRevision starts several VMs at once, so that each writes its own
// entry at a revision between the writes of others. No entry may be lost by this: once all
// VMs are registered, none may try again.
func TestOwnRegistrationKeepsRevision(t *testing.T) {
	s := newSite(t)
	for i := range 6 {
		s.start(fmt.Sprintf("vm-%d", i))
	}
	for i := range 6 {
		eventually(t, "every VM is registered", func() bool { _, ok := s.fake.Get(fmt.Sprintf("vm/vm-%d", i)); return ok })
	}
	time.Sleep(2500 * time.Millisecond) // two attempts to register, had one failed
	calls := s.fake.Calls()
	time.Sleep(time.Second)
	if more := s.fake.Calls() - calls; more > 6 {
		t.Errorf("%d calls in a second without changes, want the reader's 1 or 2", more)
	}
}

// TestRemovedVMRegistersAgain removes the entry of a running VM from the platform.
func TestRemovedVMRegistersAgain(t *testing.T) {
	s := newSite(t)
	s.start("vm-1")
	registered := func() bool { _, ok := s.fake.Get("vm/vm-1"); return ok }
	eventually(t, "registered", registered)
	time.Sleep(time.Second) // time for a read in which the VM sees its entry
	s.fake.Remove("vm/vm-1")
	eventually(t, "registered again", registered)
}

func TestGracefulStop(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	v.stop()
	eventually(t, "not ready", func() bool { return !v.ready() })
	v.send(syn(serviceAddr)) // the fabric still sends to this VM
	s.receive()
	eventually(t, "stopped", func() bool { _, ok := v.log.find("stop"); return ok })
}

// TestVMsOfADomainLeaveInTurn stops both VMs of a failure domain at once. The second must
// accept packets until the first has had time to restart.
func TestVMsOfADomainLeaveInTurn(t *testing.T) {
	s := newSite(t)
	s.grace = 6
	first, second := s.start("vm-1"), s.start("vm-2")
	for _, v := range []*vm{first, second} {
		eventually(t, "both VMs are in the settings", func() bool { return v.log.contains(`"vms":2`) })
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
		t.Error("the second refuses before the first can have restarted")
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
	eventually(t, "a log line for the reload", func() bool {
		fields, ok := v.log.find("reload")
		return ok && fields["seeds"] == float64(1)
	})
}

func TestMetrics(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	v.send(syn(serviceAddr))
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
