package sparleave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
)

const (
	ms    = time.Millisecond
	grace = 6 * time.Second
)

// ExampleLeave ends a process soon after the fabric has left it.
func ExampleLeave() {
	var l sparleave.Leave
	l.Begin(1000*ms, grace)
	l.Refused(1300 * ms)
	l.Refused(1800 * ms)
	fmt.Println(l.Done(1900*ms), l.Done(1960*ms))
	// Output: false true
}

// ended returns when a VM that was told to stop at 0 ends, with probes and packets at the
// times given.
func ended(grace time.Duration, probes, packets []time.Duration) time.Duration {
	var l sparleave.Leave
	l.Begin(0, grace)
	for now := time.Duration(0); ; now += 10 * ms {
		if l.Done(now) {
			return now
		}
		for _, at := range probes {
			if at == now {
				l.Refused(now)
			}
		}
		for _, at := range packets {
			if at == now {
				l.Packet(now)
			}
		}
	}
}

// every returns times from first to last.
func every(first, last, step time.Duration) (times []time.Duration) {
	for at := first; at <= last; at += step {
		times = append(times, at)
	}
	return times
}

func TestEndsOnceTheFabricHasLeft(t *testing.T) {
	probes := every(300*ms, 5000*ms, 500*ms)
	tests := []struct {
		name            string
		grace           time.Duration
		probes, packets []time.Duration
		want            time.Duration
	}{
		{"packets until the second probe", grace, probes, every(0, 800*ms, 10*ms), 950 * ms},
		{"packets under way after it", grace, probes, every(0, 900*ms, 10*ms), 1050 * ms},
		{"the fabric goes on sending", grace, probes, every(0, 9000*ms, 10*ms), sparleave.Bound},
		{"the fabric does not probe", grace, nil, nil, sparleave.Bound},
		{"others probe as well", grace, []time.Duration{50 * ms, 60 * ms, 70 * ms}, nil, sparleave.Bound},
		{"killed soon", 2 * time.Second, nil, nil, time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := ended(test.grace, test.probes, test.packets); got != test.want {
				t.Errorf("ended after %v, want %v", got, test.want)
			}
		})
	}
}

func TestStaysUntilTold(t *testing.T) {
	var l sparleave.Leave
	l.Refused(0)
	l.Refused(500 * ms)
	if l.Done(time.Hour) || l.Begun() {
		t.Error("a VM ends that was not told to")
	}
	l.Begin(time.Second, grace)
	if l.Done(1500 * ms) {
		t.Error("probes of its start count")
	}
}
