package sparadmit_test

import (
	"testing"
	"time"
)

// siteSlots is the demand of lookups and orders that takes all slots of newSite, as a multiple of the
// usual one.
var siteSlots = 120 / (lookups.perSecond*lookups.work.Seconds() + orders.perSecond*orders.work.Seconds())

// TestNearFullLoad covers demand just below and above the slots, for half a minute. Requests queue by
// chance before all slots are taken all the time, so that some tries are refused there; the
// callers still get nearly all that the slots can serve.
func TestNearFullLoad(t *testing.T) {
	for _, load := range []float64{0.66, 0.90, 0.95, 0.98, 1.02} {
		p := newSite(false, lookups, orders)
		p.run(2*time.Second, load*siteSlots)
		p.takeResults()
		p.run(30*time.Second, load*siteSlots)
		r := p.takeResults()
		t.Logf("at %.2f of the slots: %.4f refusals for each less urgent request, %.3f of them served in time",
			load, float64(r[0].refusals)/float64(r[0].requests), r[0].inTimeShare())
		if load < 0.67 && r[0].refusals > 0 {
			t.Errorf("%d refusals while a third of the slots is free", r[0].refusals)
		}
		urgent := orders.perSecond * orders.work.Seconds() * load * siteSlots // slots that it takes
		other := (120 - urgent) / (lookups.perSecond * lookups.work.Seconds() * load * siteSlots)
		wantAtLeast(t, "less urgent requests in time", r[0].inTimeShare(), 0.95*min(1, other))
		wantAtLeast(t, "urgent requests in time", r[1].inTimeShare(), 0.95)
		wantAtMost(t, "urgent flows refused", float64(r[1].refusals)/float64(r[1].requests), 0.01)
	}
}
