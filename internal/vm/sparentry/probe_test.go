package sparentry_test

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/peer/sparcontrol"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/platform"
)

// retransmitAfter is the time between two copies of a request.
const retransmitAfter = 200 * time.Millisecond

// startProbing runs three VMs that ask each other about upstreams.
func startProbing(s *site) []*vm {
	s.edit = func(f *sparconfig.File) { f.Probe = 12 }
	vms := []*vm{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
	for _, v := range vms {
		eventually(s.t, "ready", v.ready)
		eventually(s.t, "all VMs are listed", func() bool { return v.log.contains(`"vms":3`) })
	}
	time.Sleep(2 * retransmitAfter) // until the VMs no longer count as just started
	return vms
}

// open opens a flow through a VM and returns a packet of a request on it.
func (s *site) open(v *vm) []byte {
	v.send(syn(serviceAddr))
	cookie := s.receive()[platform.TagBytes+24 : platform.TagBytes+28]
	b := append(syn(serviceAddr), "GET"...)
	binary.BigEndian.PutUint32(b[16:], 1) // sequence number
	binary.BigEndian.PutUint32(b[20:], 1) // of the SYN-ACK, and 1
	copy(b[24:], cookie)
	binary.BigEndian.PutUint16(b[28:], 3)
	b[30] = 2
	return b
}

// TestFlowAtDeadUpstreamIsReset retransmits a request to an upstream at which nothing listens. All
// VMs find that out, and the second retransmission is answered with a reset.
func TestFlowAtDeadUpstreamIsReset(t *testing.T) {
	s := newSite(t)
	vms := startProbing(s)
	request := s.open(vms[0])
	eventually(t, "the flow is reset", func() bool {
		vms[0].send(request)
		time.Sleep(retransmitAfter)
		return vms[0].log.contains(`"cause":"upstream-gone"`)
	})
	fields, ok := vms[0].log.find("upstream gone")
	if !ok || fields["upstream"] != "7f3a" || fields["asked"] != 2.0 || fields["silent"] != 2.0 || fields["alive"] != 0.0 || fields["own"] != "silent" {
		t.Errorf("%v", fields)
	}
}

// newConnectableSite returns a site whose upstream takes connections and says nothing.
func newConnectableSite(t *testing.T) *site {
	for range 10 {
		s := newSite(t)
		listener, err := net.Listen("tcp4", s.upstream.LocalAddr().String())
		if err != nil {
			continue // the port is taken for TCP
		}
		t.Cleanup(func() { _ = listener.Close() })
		return s
	}
	t.Fatal("no port is free for TCP and UDP")
	return nil
}

// TestFlowAtMuteUpstreamStays retransmits a request to an upstream that answers nothing and still takes
// connections.
func TestFlowAtMuteUpstreamStays(t *testing.T) {
	s := newConnectableSite(t)
	vms := startProbing(s)
	request := s.open(vms[0])
	eventually(t, "a round ends without a verdict", func() bool {
		vms[0].send(request)
		time.Sleep(retransmitAfter)
		return vms[0].log.contains(`"verdict":"undecided"`)
	})
	for range 5 {
		vms[0].send(request)
		time.Sleep(retransmitAfter)
	}
	if vms[0].log.contains(`"cause":"upstream-gone"`) {
		t.Error("a flow was reset")
	}
}

// TestProbesOfUnknownVMs sends a question and an answer of a VM that is not listed.
func TestProbesOfUnknownVMs(t *testing.T) {
	tests := map[string][]byte{
		"question": sparcontrol.EncodeProbe(sparprobe.Question{From: "vm-9", Marks: []uint64{1}}),
		"answer":   sparcontrol.EncodeProbeAnswer(sparprobe.Answer{From: "vm-9", Silent: []uint64{1}}),
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			v := s.start("vm-1")
			eventually(t, "ready", v.ready)
			control, err := net.Dial("udp4", v.file.Control)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = control.Close() }()
			if _, err := control.Write(b); err != nil {
				t.Fatal(err)
			}
			eventually(t, "it is refused", func() bool {
				fields, ok := v.log.find("probe refused")
				return ok && fields["from"] == "vm-9" && fields["cause"] == "unknown VM"
			})
		})
	}
}
