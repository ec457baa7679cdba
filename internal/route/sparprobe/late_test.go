package sparprobe_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparprobe"
)

// TestLateAnswerEndsVerdict covers busy VMs that reach an upstream and say so after the round, while half of those
// asked are cut from it: their answer ends the verdict, and doesn't wait for the next round.
func TestLateAnswerEndsVerdict(t *testing.T) {
	f := newFleet(t, 24, 3)
	asker, u := f.vms[0], f.upstream(1)
	f.reaches = func(*vm, sparprobe.Upstream) bool { return false }
	list := []sparprobe.Suspect{{Upstream: u, Since: f.now - firstRetransmission}}
	questions := asker.asker.Begin(f.now, list)
	for n, q := range questions {
		a := sparprobe.Answer{From: q.To, Run: q.Run, Round: q.Round, Silent: q.Marks}
		delay := sparprobe.ConnectTimeout
		if 2*n >= len(questions) {
			a.Alive, a.Silent = q.Marks, nil
			delay = sparprobe.RoundTime + 3*step
		}
		f.after(delay, func() { _ = asker.asker.Receive(f.now, a) })
	}
	f.run(sparprobe.RoundTime + 2*step)
	expectGone(t, asker, 1)
	f.run(3 * step)
	expectGone(t, asker)
	f.run(100 * time.Millisecond)
	expectGone(t, asker)
}
