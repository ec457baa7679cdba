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
// ejects it by what the others report too, and says who has reported.
func TestVMsShareEvidence(t *testing.T) {
	s := newSite(t)
	vms := []*vm{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
	for _, v := range vms {
		eventually(t, "ready", v.ready)
		eventually(t, "all VMs are listed", func() bool { return v.log.contains(`"vms":3`) })
	}
	port := uint16(20_000)
	for range 3 {
		for _, v := range vms {
			b := syn(serviceAddr)
			port++
			binary.BigEndian.PutUint16(b[8:], port)
			v.send(b)
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, v := range vms {
		eventually(t, "the upstream is ejected by evidence", func() bool {
			fields, ok := v.log.find("upstream ejected by evidence")
			return ok && fields["upstream"] == "7f3a" && len(fields["witnesses"].([]any)) >= 2
		})
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
