package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// TestPendingFlowsEnd covers requests that a crashed upstream had acknowledged: their clients send no copies,
// so the flows end without a packet of theirs. Others at the upstream end at their next packet.
func TestPendingFlowsEnd(t *testing.T) {
	f := newFixture(t)
	waiting, idle := f.flowAt(1), f.flowAt(1)
	idle.ackResponse()
	f.flowAt(2)
	f.wait(retransmitAfter)
	f.setGone(1)
	o := sparprobe.Outcome{Upstream: sparprobe.Upstream{ID: 1, Born: 1}}
	ended := f.engine.ResetPending(o)
	if len(ended) != 1 {
		t.Fatalf("%d flows ended, want 1", len(ended))
	}
	wantVerdict(t, ended[0].Verdict, sparcookie.Reset, sparcookie.UpstreamGone)
	if s := ended[0].Segment; s.From != waiting.s.From || s.To != waiting.s.To || s.Ack != waiting.s.Ack {
		t.Errorf("%+v, want %+v", s, waiting.s)
	}
	if again := f.engine.ResetPending(o); len(again) > 0 {
		t.Errorf("%+v again", again)
	}
}

// TestPendingFlowsStay covers flows that are not ended without a packet of their clients.
func TestPendingFlowsStay(t *testing.T) {
	tests := map[string]func(f *fixture){
		"it is not gone":         func(*fixture) {},
		"the verdict has ended":  func(f *fixture) { f.setGone(1); f.wait(2 * time.Second) },
		"the request is too old": func(f *fixture) { f.wait(5 * time.Second); f.setGone(1) },
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.flowAt(1)
			run(f)
			if ended := f.engine.ResetPending(sparprobe.Outcome{Upstream: sparprobe.Upstream{ID: 1, Born: 1}}); len(ended) > 0 {
				t.Errorf("%+v", ended)
			}
		})
	}
}
