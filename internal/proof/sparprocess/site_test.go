package sparprocess_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/event/spartimeline"
	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparevents"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparhost"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparsite"
)

// newSite starts VMs in this process, spread over failure domains.
func newSite(t *testing.T, vms, domains int) *sparsite.Site {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	site, err := sparsite.New(log, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	for i := range vms {
		if _, err := site.StartVM(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("domain-%d", i%domains)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	return site
}

// TestPlatformCalls counts the platform calls of an idle deployment. They grow with the
// number of failure domains, not with that of VMs.
func TestPlatformCalls(t *testing.T) {
	const seconds = 10
	cases := []struct{ vms, domains, bound int }{
		{8, 4, 5 * seconds},
		{8, 2, 5 * seconds / 2},
		{16, 2, 5 * seconds / 2},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d VMs in %d domains", c.vms, c.domains), func(t *testing.T) {
			site := newSite(t, c.vms, c.domains)
			before := site.Store.Calls()
			time.Sleep(seconds * time.Second)
			calls := int(site.Store.Calls() - before)
			t.Logf("%d calls in %d s (bound %d)", calls, seconds, c.bound)
			if calls > c.bound {
				t.Errorf("%d calls, want at most %d", calls, c.bound)
			}
		})
	}
}

// TestTimelineNamesMissingVMs reads the timeline while one VM is down.
func TestTimelineNamesMissingVMs(t *testing.T) {
	site := newSite(t, 3, 3)
	control := site.VMs()[0].File.Control
	site.VMs()[2].Kill()
	timeline := sparevents.Read(context.Background(), []string{control}, time.Now().Add(-time.Hour), "")
	if !slices.Equal(timeline.Answered, []string{"vm-1", "vm-2"}) || !slices.Equal(timeline.Silent, []string{"vm-3"}) {
		t.Errorf("answered %v, silent %v", timeline.Answered, timeline.Silent)
	}
	if len(timeline.Events) < 4 || !slices.IsSortedFunc(timeline.Events, func(a, b spartimeline.Event) int { return cmp.Compare(a.At, b.At) }) {
		t.Errorf("%d events, not in order or too few", len(timeline.Events))
	}
}

// TestRequestsRunAtMostOnce kills a VM during requests that must not run twice, and has an
// upstream refuse new connections. A refused request must not have run.
func TestRequestsRunAtMostOnce(t *testing.T) {
	const flows, rounds = 120, 4
	site := newSite(t, 4, 2)
	address := sparsite.Endpoint("198.51.100.1:443")
	d := sparconfig.Document{Address: address.String(), Proto: "tcp"}
	var servers []*sparhost.Server
	for i := range 4 {
		at := sparflow.MakeEndpoint(0x0A000101+uint32(i), 8080)
		server, err := sparhost.NewServer(site.Fabric.Address(), sparhost.ServerConfig{At: at, Service: "booking"})
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, server)
		d.Upstreams = append(d.Upstreams, sparconfig.Member{At: at.String()})
	}
	servers[0].Shed(true)
	site.Serve("kalkkirinne", "booking", d)
	time.Sleep(time.Second)
	client, err := sparhost.NewClient(site.Fabric.Address())
	if err != nil {
		t.Fatal(err)
	}
	runs := func(id string) (n int) {
		for _, s := range servers {
			n += s.Runs(id)
		}
		return n
	}
	refused, whole := 0, 0
	for round := range rounds {
		victim := site.VMs()[1]
		if round == 2 {
			victim.Kill()
		}
		for i := range flows {
			id := fmt.Sprintf("hold-%d-%d", round, i)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			from := sparflow.MakeEndpoint(0xCB007101, uint16(10000+round*flows+i))
			conn, err := client.Open(ctx, from, address, "booking")
			if err == nil {
				_, err = conn.Do(ctx, id)
			}
			cancel()
			n := runs(id)
			switch {
			case err == nil && n == 1:
				whole++
			case err != nil && conn == nil && n == 0:
				refused++
			default:
				t.Errorf("%s ran %d times, outcome %v", id, n, err)
			}
			if round == 2 && i == 5 {
				site.RemoveVM(victim) // the fabric keeps sending to the killed VM until here
			}
		}
	}
	t.Logf("%d whole responses, %d refused without a run", whole, refused)
	if refused == 0 || whole < flows {
		t.Errorf("%d refused and %d whole: too few to test anything", refused, whole)
	}
}
