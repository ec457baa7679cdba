package sparserver_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderspar/oleanderspar/internal/operator/sparstatus"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/stand/sparsite"
)

// TestRestoredPlatformHidesDocuments guards against documents that never come into force because
// the key-value service was restored from an older copy, which it does not count: the VMs
// raise the era there themselves.
func TestRestoredPlatformHidesDocuments(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	site, err := sparsite.New(log, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	var controls []string
	for _, domain := range []string{"north", "south"} {
		vm, err := site.StartVM("vm-"+domain, domain)
		if err != nil {
			t.Fatal(err)
		}
		controls = append(controls, vm.File.Control)
	}
	d := sparconfig.Document{Address: "198.51.100.1:443", Proto: "tcp"}
	serve := func(name, upstream string) {
		d.Upstreams = append(d.Upstreams, sparconfig.Member{At: upstream})
		site.Serve("team", name, d)
	}
	inForce := func(upstream string) {
		t.Helper()
		text := ""
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			text = sparstatus.Read(context.Background(), controls).Text()
			if strings.Contains(text, "in force everywhere") && strings.Contains(text, upstream) {
				return
			}
		}
		t.Fatalf("%s is not in force:\n%s", upstream, text)
	}
	serve("booking", "10.0.0.1:80")
	inForce("10.0.0.1:80")
	older := site.Store.Copy()
	for _, upstream := range []string{"10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"} {
		serve("booking", upstream)
		inForce(upstream)
	}
	site.Store.Restore(older)
	serve("booking", "10.0.0.5:80") // at a revision of the documents that are lost
	inForce("10.0.0.5:80")
}
