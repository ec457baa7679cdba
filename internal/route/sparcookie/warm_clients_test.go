package sparcookie_test

import (
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
)

// siteLoad is what clients do.
type siteLoad struct {
	perSecond float64       // flows
	work      time.Duration // of one request
	requests  int           // of a flow
	lost      float64       // share of SYNs without a response
	wander    float64       // share of packets that reach another VM
}

// run runs the site under load.
func (s *warmSite) run(d time.Duration, load siteLoad) {
	for end := s.now + d; s.now < end; {
		s.step()
		for p := load.perSecond / 1000; p > 0; p-- {
			if s.rng.Float64() < p {
				s.openFlow(load)
			}
		}
	}
}

// anyVM returns a VM that the fabric takes for alive.
func (s *warmSite) anyVM() *siteVM {
	for range 100 {
		if vm := s.vms[s.rng.IntN(len(s.vms))]; !vm.dead {
			return vm
		}
	}
	return s.vms[0]
}

// pick returns vm or, for some packets or if it is dead, another one.
func (s *warmSite) pick(vm *siteVM, load siteLoad) *siteVM {
	if vm.dead || s.rng.Float64() < load.wander {
		return s.anyVM()
	}
	return vm
}

// siteClient returns the address of the nth flow.
func siteClient(n uint32) sparflow.Endpoint {
	return sparflow.MakeEndpoint(0x64400000+n>>14, uint16(1024+n&0x3fff))
}

func (s *warmSite) openFlow(load siteLoad) {
	s.port++
	seg := sparcookie.Segment{
		From: siteClient(s.port), To: bookingAddr, Seq: 100, Kind: sparcookie.SYN,
	}
	s.sendSYN(s.anyVM(), seg, load, 0)
}

// sendSYN sends a SYN, and again if it has no response.
func (s *warmSite) sendSYN(vm *siteVM, seg sparcookie.Segment, load siteLoad, copies uint32) {
	seg.Ack = copies
	answered := false
	s.packet(vm, seg, func(v sparcookie.Verdict) {
		answered = v.Action == sparcookie.Reset
		if v.Action != sparcookie.ToUpstream || s.rng.Float64() < load.lost {
			return
		}
		answered = true
		seg := seg
		seg.Kind, seg.Seq, seg.Ack, seg.Cookie = sparcookie.Data, 101, 500, v.Cookie
		s.after(rtt, func() { s.packet(s.pick(vm, load), seg, func(sparcookie.Verdict) {}) })
		s.after(rtt+time.Millisecond, func() { s.request(vm, seg, load, load.requests) })
	})
	s.after(retransmitAfter, func() {
		if !answered && copies < 3 {
			s.sendSYN(s.pick(vm, load), seg, load, copies+1)
		}
	})
}

// request sends a request, waits for its response, and then sends the next one or ends the flow.
func (s *warmSite) request(vm *siteVM, seg sparcookie.Segment, load siteLoad, left int) {
	none := func(sparcookie.Verdict) {}
	request := seg
	request.Size = 100
	s.packet(s.pick(vm, load), request, none)
	s.after(rtt+load.work, func() {
		seg.Seq += 100
		seg.Ack += 400
		s.packet(s.pick(vm, load), seg, none)
		if left > 1 {
			s.after(10*time.Millisecond, func() { s.request(vm, seg, load, left-1) })
			return
		}
		seg.Kind = sparcookie.FIN
		s.packet(s.pick(vm, load), seg, none)
	})
}
