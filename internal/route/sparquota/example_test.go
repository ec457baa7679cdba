package sparquota_test

import (
	"fmt"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/route/sparquota"
)

// Example lets the only VM of a site use the limit of an upstream once it has waited.
func Example() {
	lease := sparquota.NewLease("vm-1", 2*time.Second)
	var window sparquota.Window
	lease.List(0, []sparquota.Member{{Name: "vm-1", Domain: "north"}}, sparquota.Entry{Listed: true})
	limit := sparquota.Limit(4, 1.5, 5)
	for now := time.Duration(0); now <= 6*time.Second; now += time.Second / 2 {
		lease.Renew(now, 100*time.Millisecond)
		sent := 0
		part := sparquota.Part(limit, lease.Rank(7, "north"))
		for lease.Active(now) && window.Count(now) < part {
			window.Add(now)
			sent++
		}
		if sent > 0 {
			fmt.Println(now, sent)
		}
	}
	// Output: 5.5s 4
}
