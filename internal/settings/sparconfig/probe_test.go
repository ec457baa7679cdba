package sparconfig_test

import (
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

// TestProbe covers the number of VMs that are asked about silent upstreams. A negative want is an error.
func TestProbe(t *testing.T) {
	tests := map[string]struct {
		text, field string
		want        int
	}{
		"unset":       {cookieFile, ``, 0},
		"off":         {cookieFile, `"probe": 0, `, 0},
		"set":         {cookieFile, `"probe": 12, `, 12},
		"most":        {cookieFile, `"probe": 16, `, 16},
		"too many":    {cookieFile, `"probe": 17, `, -1},
		"negative":    {cookieFile, `"probe": -1, `, -1},
		"with geneve": {geneveFile, `"probe": 12, `, -1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f, err := sparconfig.ParseFile([]byte(strings.Replace(c.text, "{", "{"+c.field, 1)))
			if c.want < 0 {
				if err == nil || !strings.Contains(err.Error(), "probe") {
					t.Errorf("error %v, want one that names probe", err)
				}
				return
			}
			if carrier, ok := f.CarrierSettings().(sparconfig.CookieCarrier); err != nil || !ok || carrier.Probe != c.want {
				t.Errorf("%+v, error %v, want %d", carrier, err, c.want)
			}
		})
	}
}
