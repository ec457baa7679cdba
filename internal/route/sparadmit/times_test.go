package sparadmit_test

import (
	"math"
	"testing"
	"time"
)

// wantBase checks the response time without queueing that the VMs have learnt for a kind of request:
// its median, of which work and path are known.
func (p *pool) wantBase(t *testing.T, kind int, least, most float64) {
	t.Helper()
	median := math.Exp(workMean)*p.kinds[kind].work.Seconds() + path.Seconds()
	for i, v := range p.vms {
		got := v.times[kind].Base().Seconds() / median
		if got < least || got > most {
			t.Errorf("VM %d: response time without queueing %.2f of the true one, want %.2f to %.2f", i, got, least, most)
		}
	}
}

// TestRejectionsAreNotLearnt covers a minute of overload by requests on open flows, which can't be
// refused: full upstreams turn two thirds of them away, much faster than they serve any.
func TestRejectionsAreNotLearnt(t *testing.T) {
	orders := orders
	orders.long = true
	p := busyPool(lookups, orders)
	p.run(time.Minute, 1, 15)
	p.wantBase(t, 1, 0.5, 1.5)
}

// TestFasterServiceIsLearnt covers a service that becomes three times as fast: its responses are no
// rejections.
func TestFasterServiceIsLearnt(t *testing.T) {
	p := busyPool(lookups, orders)
	for i := range p.kinds {
		p.kinds[i].work /= 3
	}
	p.run(time.Minute, 2)
	p.wantBase(t, 0, 0.7, 1.5)
	p.wantBase(t, 1, 0.7, 1.5)
}
