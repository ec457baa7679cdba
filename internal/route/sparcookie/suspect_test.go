package sparcookie_test

import (
	"testing"
	"time"
)

// suspects returns the IDs of the upstreams that other VMs are to be asked about.
func (f *fixture) suspects() (ids []uint64) {
	for _, s := range f.engine.Suspects() {
		ids = append(ids, s.ID)
	}
	return ids
}

func TestUnansweredRequestsMakeSuspect(t *testing.T) {
	tests := []struct {
		name string
		want bool
		run  func(f *fixture)
	}{
		{"a request is retransmitted", true, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.request()
		}},
		{"a request hangs, and its client sends no copy", true, func(f *fixture) {
			f.engine.SetUsual(booking, 20*time.Millisecond)
			f.flowAt(1)
			f.wait(250 * time.Millisecond)
		}},
		{"a request does not hang yet", false, func(f *fixture) {
			f.engine.SetUsual(booking, 20*time.Millisecond)
			f.flowAt(1)
			f.wait(150 * time.Millisecond)
		}},
		{"a slow service", false, func(f *fixture) {
			f.engine.SetUsual(booking, 250*time.Millisecond)
			f.flowAt(1)
			f.wait(time.Second)
		}},
		{"a request that hangs is answered", false, func(f *fixture) {
			f.engine.SetUsual(booking, 20*time.Millisecond)
			c := f.flowAt(1)
			f.wait(300 * time.Millisecond)
			c.ackResponse()
			f.wait(time.Second)
		}},
		{"it answers another client", false, func(f *fixture) {
			other, c := f.flowAt(1), f.flowAt(1)
			f.wait(retransmitAfter / 2)
			other.ackResponse()
			f.wait(retransmitAfter / 2)
			c.request()
		}},
		{"it answers after the retransmission", false, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.request()
			c.ackResponse()
		}},
		{"full: a SYN is unanswered", false, func(f *fixture) {
			c := f.newClient(bookingAddr)
			c.open()
			f.wait(retransmitAfter)
			c.open()
		}},
		{"a reordered packet", false, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(20 * time.Millisecond)
			c.request()
		}},
		{"it drains", false, func(f *fixture) {
			c := f.flowAt(1)
			f.upstreams[0].Draining = true
			f.apply()
			f.wait(retransmitAfter)
			c.request()
		}},
		{"this VM was paused", false, func(f *fixture) {
			c := f.flowAt(1)
			f.pause(retransmitAfter)
			c.request()
		}},
		{"restarted under its ID", false, func(f *fixture) {
			c := f.flowAt(1)
			f.wait(retransmitAfter)
			c.request()
			f.upstreams[0].Born++
			f.apply()
		}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			c.run(f)
			if got := f.suspects(); (len(got) > 0) != c.want {
				t.Errorf("suspects %v, want some: %t", got, c.want)
			}
			if again := f.suspects(); len(again) > 0 {
				t.Errorf("suspects %v again", again)
			}
		})
	}
}
