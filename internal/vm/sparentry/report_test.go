package sparentry_test

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparevidence"
)

// TestVMsShareEvidence lets three VMs open flows at an upstream that does not answer. Each of them
// ejects it by what the others report too, and says who has reported. Flows go on, since a VM that
// has been paused for a moment, as on a busy machine, draws no conclusions from the SYNs of that time.
func TestVMsShareEvidence(t *testing.T) {
	s := newSite(t)
	vms := []*vm{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
	for _, v := range vms {
		eventually(t, "ready", v.ready)
		eventually(t, "all VMs are listed", func() bool { return v.log.contains(`"vms":3`) })
	}
	port := uint16(20_000)
	eventually(t, "the upstream is ejected by evidence at all VMs", func() bool {
		ejected := 0
		for _, v := range vms {
			b := syn(serviceAddr)
			port++
			binary.BigEndian.PutUint16(b[8:], port)
			v.send(b)
			if fields, ok := v.log.find("upstream ejected by evidence"); ok {
				ejected++
				assertEjected(t, fields)
			}
		}
		return ejected == len(vms)
	})
}

// assertEjected checks the line about an ejection of the upstream of a site.
func assertEjected(t *testing.T, fields map[string]any) {
	t.Helper()
	witnesses, _ := fields["witnesses"].([]any)
	if fields["upstream"] != "7f3a" || len(witnesses) < 2 {
		t.Errorf("%v, want 7f3a and two witnesses or more", fields)
	}
}

// TestReportsOfUnknownVMs sends a report of a VM that is not listed.
func TestReportsOfUnknownVMs(t *testing.T) {
	s := newSite(t)
	v := s.start("vm-1")
	eventually(t, "ready", v.ready)
	control, err := net.Dial("udp4", v.file.Control)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = control.Close() }()
	b := sparcontrol.EncodeEvidence(sparevidence.Report{From: "vm-9", Sent: time.Second})
	if _, err := control.Write(b); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the report is refused", func() bool {
		fields, ok := v.log.find("report refused")
		return ok && fields["from"] == "vm-9" && fields["cause"] == "unknown VM"
	})
}
