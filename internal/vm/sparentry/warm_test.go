package sparentry_test

import (
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

// TestWarmLimit sends many SYNs to a VM whose only upstream warms up. The VM waits until all would
// know it, then sends its part of the limit, and refuses the others at once.
func TestWarmLimit(t *testing.T) {
	s := newSite(t)
	s.edit = func(f *sparconfig.File) { f.Force, f.Overage, f.Slack = 800, 1.5, 3 }
	s.fake.Put(sparfake.RoutingKey, sparfake.Document{
		Version: 4, Routes: []sparfake.Route{{At: serviceAddr, Service: "booking"}},
		Services: []sparfake.Service{{Name: "booking", WarmRate: 2}},
	}.Text())
	key, entry := sparfake.Entry(0x7f3a, "booking", "north", s.upstream.LocalAddr().String(), false, time.Now())
	s.fake.Put(key, sparfake.Warming(entry, time.Minute))
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	s.sendSYNs(v, 1000, 5)
	eventually(t, "refusals before the wait", func() bool { return v.metric("warm_refusals") >= 5 })
	if v.metric("warm_openings") != 0 {
		t.Error("openings before the wait, want none")
	}
	eventually(t, "a line that the VM is a holder", func() bool {
		fields, ok := v.log.find("quota held")
		return ok && fields["part"] == float64(2) && fields["upstream"] == "7f3a"
	})
	s.sendSYNs(v, 2000, 20)
	eventually(t, "openings", func() bool { return v.metric("warm_openings") == 2 })
	eventually(t, "a line with the cause", func() bool { return v.log.contains(`"cause":"warm-limit"`) })
}

// sendSYNs sends SYNs of n flows at once.
func (s *site) sendSYNs(v *vm, from uint16, n int) {
	for i := range n {
		b := syn(serviceAddr)
		binary.BigEndian.PutUint16(b[8:], from+uint16(i))
		v.send(b)
	}
}

// metric returns the value of a counter, 0 if there is none.
func (v *vm) metric(name string) int {
	r, err := http.Get("http://" + v.file.Control + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = r.Body.Close() }()
	text, _ := io.ReadAll(r.Body)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "oleanderspar_"+name+" "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(value))
			return n
		}
	}
	return 0
}
