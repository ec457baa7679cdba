package sparleave_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/member/sparleave"
)

const (
	ms    = time.Millisecond
	step  = 10 * ms
	grace = 6 * time.Second

	// Of the simulated fabric and VMs.
	probeInterval      = 500 * ms
	unhealthyThreshold = 2
	restartTime        = 600 * ms
	// rotationLimit is the time after SIGTERM within which a VM must be out of rotation.
	rotationLimit = 4 * time.Second
)

// ExampleLeave ends a process soon after the fabric has taken its VM out of rotation.
func ExampleLeave() {
	var l sparleave.Leave
	l.Begin("vm-1", 1000*ms, grace)
	l.Tick(1, 1000*ms)
	fmt.Println(l.Ready())
	l.ProbeRefused(1300 * ms)
	l.ProbeRefused(1800 * ms)
	fmt.Println(l.Done(1900*ms), l.Done(1960*ms))
	// Output:
	// false
	// false true
}

// ended returns the time at which the process of a VM that is alone in its failure domain
// and told to stop at 0 may end, given the times of probes and packets.
func ended(grace time.Duration, probes, packets []time.Duration) time.Duration {
	var l sparleave.Leave
	l.Begin("vm-1", 0, grace)
	for now := time.Duration(0); ; now += step {
		l.Tick(1, now)
		if l.Done(now) {
			return now
		}
		for _, at := range probes {
			if at == now {
				l.ProbeRefused(now)
			}
		}
		for _, at := range packets {
			if at == now {
				l.PacketReceived(now)
			}
		}
	}
}

// every returns the times from first to last at intervals of step.
func every(first, last, step time.Duration) (times []time.Duration) {
	for at := first; at <= last; at += step {
		times = append(times, at)
	}
	return times
}

func TestEndsOnceOutOfRotation(t *testing.T) {
	probes := every(300*ms, 5000*ms, probeInterval)
	tests := []struct {
		name            string
		grace           time.Duration
		probes, packets []time.Duration
		want            time.Duration
	}{
		{"packets until the second probe", grace, probes, every(0, 800*ms, step), 950 * ms},
		{"packets in flight after the second probe", grace, probes, every(0, 900*ms, step), 1050 * ms},
		{"the fabric keeps sending", grace, probes, every(0, 9000*ms, step), 1800 * ms},
		{"the fabric does not probe", grace, nil, nil, 1800 * ms},
		{"others probe continuously", grace, every(0, 9000*ms, step), nil, 550 * ms},
		{"only others probe", grace, []time.Duration{50 * ms, 60 * ms, 70 * ms}, nil, 1800 * ms},
		{"short grace period", 2 * time.Second, nil, nil, time.Second},
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
	l.ProbeRefused(0)
	l.ProbeRefused(500 * ms)
	if l.Done(time.Hour) || l.Begun() || !l.Ready() {
		t.Error("a VM ends that was not told to stop")
	}
	l.Begin("vm-1", time.Second, grace)
	l.Tick(1, time.Second)
	if l.Done(1500 * ms) {
		t.Error("probes refused during the start count")
	}
}

// member is a VM of a failure domain, with its state at the fabric.
type member struct {
	leave         sparleave.Leave
	refusedProbes int           // in a row
	exitedAt      time.Duration // when its process ended, or 0
	stopAt        time.Duration // when it was told to stop, or 0
}

// simulate runs the VMs of a failure domain that are told to stop at the given times, and
// returns for how long the fabric sent packets to VMs that had stopped. All announcements are
// lost if lossy is set.
func simulate(t *testing.T, stops []time.Duration, lossy bool) (lost time.Duration) {
	vms := make([]*member, len(stops))
	for i := range vms {
		vms[i] = &member{}
	}
	name := func(i int) string { return fmt.Sprintf("vm-%d", i) }
	for now := step; now < 20*time.Second; now += step {
		for i, vm := range vms {
			running := vm.exitedAt == 0 || now-vm.exitedAt >= restartTime
			if running && vm.exitedAt > 0 {
				vm.leave, vm.exitedAt = sparleave.Leave{}, 0
			}
			if now == stops[i] {
				vm.leave.Begin(name(i), now, grace)
				vm.stopAt = now
			}
			for _, d := range vm.leave.Tick(len(vms), now) {
				for j, other := range vms {
					if j != i && !lossy && other.exitedAt == 0 {
						other.leave.Received(d, now)
					}
				}
			}
			if (now+time.Duration(i)*110*ms)%probeInterval == 0 {
				if running && vm.leave.Ready() {
					vm.refusedProbes = 0
				} else {
					vm.refusedProbes++
					vm.leave.ProbeRefused(now)
				}
			}
		}
		out := 0
		for _, vm := range vms {
			if vm.refusedProbes >= unhealthyThreshold {
				out++
			}
		}
		for _, vm := range vms {
			sent := vm.refusedProbes < unhealthyThreshold || 2*(len(vms)-out) < len(vms)
			if sent && vm.exitedAt > 0 {
				lost += step
			}
			if sent && vm.exitedAt == 0 && vm.leave.Begun() {
				vm.leave.PacketReceived(now)
			}
			if vm.exitedAt == 0 && vm.leave.Done(now) {
				vm.exitedAt = now
			}
			if vm.stopAt > 0 && now-vm.stopAt == rotationLimit && vm.exitedAt == 0 && vm.leave.Begun() && vm.refusedProbes < unhealthyThreshold {
				t.Fatalf("still in rotation %v after it was told to stop", rotationLimit)
			}
			if vm.exitedAt == 0 && vm.leave.Begun() && now-vm.stopAt >= grace {
				t.Fatalf("killed at %v, %v after it was told to stop", now, now-vm.stopAt)
			}
		}
	}
	return lost
}

// TestStaggeredShutdown tells several VMs of a failure domain to stop at nearly the same time.
// The fabric must never send to one that has stopped.
func TestStaggeredShutdown(t *testing.T) {
	tests := []struct {
		name  string
		stops []time.Duration
	}{
		{"one of two", []time.Duration{time.Second, time.Hour}},
		{"both of two, 1.2 s apart", []time.Duration{time.Second, 2200 * ms}},
		{"both of two, at once", []time.Duration{time.Second, time.Second}},
		{"two of three, 1.2 s apart", []time.Duration{2200 * ms, time.Second, time.Hour}},
		{"two of three, at once", []time.Duration{time.Second, time.Second, time.Hour}},
		{"four of four, 1.5 s apart", []time.Duration{time.Second, 2500 * ms, 4000 * ms, 5500 * ms}},
		{"half of eight, at once", []time.Duration{
			time.Second, time.Second, time.Second, time.Second, time.Hour, time.Hour, time.Hour, time.Hour,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if lost := simulate(t, test.stops, false); lost > 0 {
				t.Errorf("packets went to stopped VMs for %v", lost)
			}
		})
	}
}

// TestShutdownEnds tells all VMs of a domain to stop, or loses all announcements. Each VM must
// still end before it is killed, whether or not packets are lost.
func TestShutdownEnds(t *testing.T) {
	t.Run("all of five at once", func(t *testing.T) {
		simulate(t, []time.Duration{time.Second, time.Second, time.Second, time.Second, time.Second}, false)
	})
	t.Run("announcements lost", func(t *testing.T) {
		simulate(t, []time.Duration{time.Second, 1100 * ms, 1200 * ms}, true)
	})
}
