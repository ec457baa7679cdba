package sparcookie_test

import (
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparcookie"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparroster"
)

// warmFixture is one VM of the site, in the failure domain north, with two more in south, and
// warm upstreams 1 and 2 of north.
type warmFixture struct {
	*warmSite
	vm  *siteVM
	ids []uint64
}

func newWarmFixture(t *testing.T, rate float64, limit sparconfig.WarmLimit) *warmFixture {
	f := &warmFixture{warmSite: newWarmSite(t, 1, rate, limit)}
	f.vm = f.addVM("north")
	for range 2 {
		other := f.addVM("south")
		other.dead = true // its entry stays
	}
	for range 2 {
		f.add("north", 0)
	}
	f.wait(siteWait)
	return f
}

// add lists an upstream that warms up for the time.
func (f *warmFixture) add(domain string, warm time.Duration) (id uint64) {
	id = uint64(len(f.ids) + 1)
	f.ids = append(f.ids, id)
	f.warm[id] = &warmServer{from: f.now, until: f.now + warm}
	u := newUpstream(id, domain)
	u.Warm = warm
	f.put(upstreamKey(id), u)
	return id
}

// edit changes the entry of an upstream.
func (f *warmFixture) edit(id uint64, change func(u *sparroster.Upstream)) {
	u := f.facts[upstreamKey(id)].(sparroster.Upstream)
	change(&u)
	f.put(upstreamKey(id), u)
}

func draining(u *sparroster.Upstream) { u.Draining = true }

func upstreamKey(id uint64) string { return sparroster.UpstreamPrefix + string(rune('0'+id)) }

// wait lets time pass without packets. The VM hears of all changes.
func (f *warmFixture) wait(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// learn waits until the VM has the latest settings.
func (f *warmFixture) learn() { f.wait(800 * time.Millisecond) }

// openMany sends n SYNs of new flows at once and returns how many each upstream got; 0 counts those
// that none got.
func (f *warmFixture) openMany(n int) map[uint64]int {
	got := map[uint64]int{}
	for range n {
		v := f.open()
		got[v.ID]++
	}
	return got
}

func (f *warmFixture) open() (v sparcookie.Verdict) {
	f.port++
	seg := sparcookie.Segment{From: siteClient(f.port), To: bookingAddr, Seq: 100, Kind: sparcookie.SYN}
	f.packet(f.vm, seg, func(got sparcookie.Verdict) { v = got })
	return v
}

// drain drains the warm upstreams, so that only those that warm up are left.
func (f *warmFixture) drain() {
	for id := range uint64(2) {
		f.edit(id+1, draining)
	}
	f.learn()
}

// TestPartOfTheNearHolder checks that the only VM of the upstream's domain gets the largest part,
// 4 of 11, and that what exceeds it goes to other upstreams.
func TestPartOfTheNearHolder(t *testing.T) {
	f := newWarmFixture(t, 4, sparconfig.WarmLimit{Overage: 1.5, Slack: 5})
	id := f.add("north", time.Minute)
	f.learn()
	if got := f.openMany(100); got[id] != 4 || got[0] != 0 {
		t.Errorf("openings %v, want 4 at upstream %d and none refused", got, id)
	}
	f.wait(time.Second)
	if got := f.openMany(100); got[id] != 0 {
		t.Errorf("openings %v within the same second, want none at upstream %d", got, id)
	}
	f.wait(time.Millisecond)
	if got := f.openMany(100); got[id] != 4 {
		t.Errorf("openings %v in the next second, want 4 at upstream %d", got, id)
	}
}

// TestRefusedAtOnce leaves nothing but upstreams that warm up: an opening beyond the quota is refused
// with its own cause, and a copy of a SYN is dropped, since the first one may open the flow.
func TestRefusedAtOnce(t *testing.T) {
	f := newWarmFixture(t, 1, sparconfig.WarmLimit{Overage: 1})
	id := f.add("north", time.Minute)
	f.drain()
	wantVerdict(t, f.open(), sparcookie.ToUpstream, sparcookie.Placed)
	copied := sparcookie.Segment{From: siteClient(f.port), To: bookingAddr, Seq: 100, Kind: sparcookie.SYN, Ack: 1}
	f.packet(f.vm, copied, func(v sparcookie.Verdict) { wantVerdict(t, v, sparcookie.Drop, sparcookie.WarmLimit) })
	wantVerdict(t, f.open(), sparcookie.Reset, sparcookie.WarmLimit)
	if got := f.vm.engine.Stats(); got.WarmOpenings != 1 || got.WarmRefusals != 2 {
		t.Errorf("counts %d and %d, want 1 opening and 2 refusals", got.WarmOpenings, got.WarmRefusals)
	}
	f.edit(id, draining)
	f.learn()
	wantVerdict(t, f.open(), sparcookie.Reset, sparcookie.NoUpstream)
}

// TestCopyOfSYNUsesQuota sends a SYN again to an upstream that warms up: the server gets two openings.
func TestCopyOfSYNUsesQuota(t *testing.T) {
	f := newWarmFixture(t, 4, sparconfig.WarmLimit{Overage: 1}) // parts 2, 1, 1
	f.add("north", time.Minute)
	f.drain()
	f.open()
	copied := sparcookie.Segment{From: siteClient(f.port), To: bookingAddr, Seq: 100, Kind: sparcookie.SYN, Ack: 1}
	f.packet(f.vm, copied, func(v sparcookie.Verdict) { wantVerdict(t, v, sparcookie.ToUpstream, sparcookie.Repeated) })
	wantVerdict(t, f.open(), sparcookie.Reset, sparcookie.WarmLimit)
}

// TestSmallAndHugeLimits covers limits at the edges of the settings.
func TestSmallAndHugeLimits(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		limit sparconfig.WarmLimit
		want  int // of 2000 openings
	}{
		{0.3, sparconfig.WarmLimit{Overage: 1}, 0},
		{0.3, sparconfig.WarmLimit{Overage: 1, Slack: 1}, 1},
		{8, sparconfig.WarmLimit{Overage: 0.5}, 2},
		{1e18, sparconfig.WarmLimit{Overage: 100, Slack: 1e6}, 1024},
		{0, sparconfig.WarmLimit{Overage: 1}, 2000}, // no limit is set
	} {
		f := newWarmFixture(t, c.rate, c.limit)
		id := f.add("north", time.Minute)
		f.drain()
		if got := f.openMany(2000); got[id] != c.want {
			t.Errorf("rate %v, %+v: %d openings, want %d", c.rate, c.limit, got[id], c.want)
		}
	}
}

// TestOldSettingsSendNothing pauses the VM for longer than settings are fresh. Packets wait for it, and
// others come once it has caught up, still with its old settings.
func TestOldSettingsSendNothing(t *testing.T) {
	f := newWarmFixture(t, 30, sparconfig.WarmLimit{Overage: 1})
	id := f.add("north", time.Minute)
	f.learn()
	f.vm.cutUntil = f.now + time.Minute
	f.vm.pausedUntil = f.now + 2*siteAge
	got := map[uint64]int{}
	open := func() {
		for range 50 {
			f.port++
			seg := sparcookie.Segment{From: siteClient(f.port), To: bookingAddr, Seq: 100, Kind: sparcookie.SYN}
			f.packet(f.vm, seg, func(v sparcookie.Verdict) { got[v.ID]++ })
		}
	}
	open()
	f.wait(2*siteAge + time.Millisecond)
	if len(got) != 1 || got[0] != 50 {
		t.Errorf("openings %v after the pause, want none for SYNs that waited", got)
	}
	f.wait(catchUpTime)
	open()
	f.wait(time.Millisecond)
	if got[id] != 0 || got[1]+got[2] != 50 {
		t.Errorf("openings %v with old settings, want all of them at the warm upstreams", got)
	}
}

// TestRestartedUpstreamKeepsCount restarts an upstream under its ID within the second.
func TestRestartedUpstreamKeepsCount(t *testing.T) {
	f := newWarmFixture(t, 3, sparconfig.WarmLimit{Overage: 1})
	id := f.add("north", time.Minute)
	f.drain()
	f.open()
	f.edit(id, func(u *sparroster.Upstream) { u.Born++ })
	f.learn()
	wantVerdict(t, f.open(), sparcookie.Reset, sparcookie.WarmLimit)
	f.wait(time.Second)
	wantVerdict(t, f.open(), sparcookie.ToUpstream, sparcookie.Placed)
}

// TestChangedRate changes the limit while an upstream warms up: a lower one holds at once, a
// higher one, or none, when all VMs know it.
func TestChangedRate(t *testing.T) {
	f := newWarmFixture(t, 9, sparconfig.WarmLimit{Overage: 1})
	id := f.add("north", time.Minute)
	f.drain()
	for _, step := range []struct {
		rate float64
		wait time.Duration
		want int
	}{{9, 0, 3}, {3, 0, 1}, {30, 0, 1}, {30, siteWait, 10}, {0, 0, 10}, {0, siteWait, 50}, {3, 0, 1}} {
		f.setRate(step.rate)
		f.wait(2*time.Second + step.wait)
		if got := f.openMany(50); got[id] != step.want {
			t.Errorf("rate %v after %v: %d openings, want %d", step.rate, step.wait, got[id], step.want)
		}
	}
}

// TestHolderEvents checks that a change is announced once, whatever the number of packets.
func TestHolderEvents(t *testing.T) {
	f := newWarmFixture(t, 4, sparconfig.WarmLimit{Overage: 1.5, Slack: 5})
	f.vm.engine.Events()
	f.add("north", 5*time.Second)
	f.learn()
	f.openMany(50)
	f.wait(8 * time.Second)
	var got []bool
	for _, event := range f.vm.engine.Events() {
		if e, ok := event.(sparcookie.WarmHolder); ok {
			got = append(got, e.Holder)
		}
	}
	if len(got) != 2 || !got[0] || got[1] {
		t.Errorf("events %v, want one that says yes and one that says no", got)
	}
}

// TestStaleSettingsKeepUpstreamsInUse covers an upstream that answers again after an ejection while the
// platform is away: it may have restarted, and is left to its holders for a while, but not for as long
// as the settings are stale.
func TestStaleSettingsKeepUpstreamsInUse(t *testing.T) {
	f := newWarmFixture(t, 4, sparconfig.WarmLimit{Overage: 1.5, Slack: 5})
	f.learn()
	f.vm.cutUntil = f.now + time.Hour
	answer := func(port uint32, v sparcookie.Verdict) {
		s := sparcookie.Segment{From: siteClient(port), To: bookingAddr, Seq: 101, Ack: 500, Cookie: v.Cookie}
		f.packet(f.vm, s, func(sparcookie.Verdict) {})
	}
	first := f.open()
	port := f.port
	f.wait(200 * time.Millisecond)
	second := f.open() // the SYN before it is overdue, which ejects its upstream
	answer(f.port, second)
	answer(port, first)
	f.wait(15 * time.Second)
	if got := f.openMany(40); got[1] == 0 || got[2] == 0 {
		t.Errorf("openings %v, want some at both upstreams; upstream %d has come back", got, first.ID)
	}
}
