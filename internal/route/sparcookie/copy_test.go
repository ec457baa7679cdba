package sparcookie_test

import (
	"slices"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// TestRetransmittedSYNFollowsSettings guards against flows that open at an upstream which the settings in
// force rule out: they came into force between a SYN and its copy, and the upstream, which is full,
// answers the clients that it has.
func TestRetransmittedSYNFollowsSettings(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(f *fixture, u uint64)
		want   string // service of the upstream that the copy goes to
	}{
		{"route moved", func(f *fixture, _ uint64) { f.routes[0].Targets[0].Service = receipts }, receipts},
		{"weight 0", func(f *fixture, _ uint64) {
			f.routes[0].Targets = []sparroster.Target{{Service: booking}, {Service: receipts, Weight: 1}}
		}, receipts},
		{"draining", func(f *fixture, u uint64) { f.upstreams[u-1].Draining = true }, booking},
		{"removed", func(f *fixture, u uint64) {
			f.upstreams = slices.DeleteFunc(f.upstreams, func(up sparroster.Upstream) bool { return up.ID == u })
		}, booking},
		{"unusable entry", func(f *fixture, u uint64) { f.unusable = []uint64{u} }, booking},
		{"nothing else left", func(f *fixture, u uint64) {
			f.upstreams = slices.DeleteFunc(f.upstreams, func(up sparroster.Upstream) bool { return up.Service == booking })
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			c := f.newClient(bookingAddr)
			c.open()
			first := c.upstream
			test.change(f, first)
			f.apply()
			v := c.open()
			if test.want == "" {
				wantVerdict(t, v, sparcookie.Reset, sparcookie.NoUpstream)
				return
			}
			i := slices.IndexFunc(f.upstreams, func(up sparroster.Upstream) bool { return up.ID == v.ID })
			if v.Action != sparcookie.ToUpstream || v.ID == first || i < 0 || f.upstreams[i].Service != test.want {
				t.Errorf("%v %v to %d after %d, want an upstream of %s", v.Action, v.Cause, v.ID, first, test.want)
			}
		})
	}
}
