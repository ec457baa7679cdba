package sparconfig_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
)

const (
	geneveFile = `{"name": "vm-1", "domain": "north", "data": "127.0.0.1:1", "control": "127.0.0.1:2",
		"fabric": "127.0.0.1:3", "platform": "127.0.0.1:4", "secret": "000102030405060708090a0b0c0d0e0f"}`
	cookieFile = `{"carrier": "cookie", "name": "vm-1", "domain": "north", "data": "127.0.0.1:1", // packets
		"control": "127.0.0.1:2", "ready": "127.0.0.1:3", "platform": "127.0.0.1:4", "seeds": ["127.0.0.1:5"]}`
)

func TestFilesOfBothCarriers(t *testing.T) {
	f, err := sparconfig.ParseFile([]byte(geneveFile))
	if err != nil || f.Carrier != sparconfig.Geneve || f.Flows != sparconfig.DefaultFlows {
		t.Errorf("%+v, error %v", f, err)
	}
	f, err = sparconfig.ParseFile([]byte(cookieFile))
	if err != nil || f.Carrier != sparconfig.Cookie || f.Force != sparconfig.DefaultForce || f.Grace != sparconfig.DefaultGrace || f.Beat != sparconfig.DefaultBeat {
		t.Errorf("%+v, error %v", f, err)
	}
}

func TestBadFiles(t *testing.T) {
	with := func(text, field string) string { return strings.Replace(text, "{", "{"+field+", ", 1) }
	cases := map[string]struct{ text, names string }{
		"unknown carrier":       {strings.Replace(cookieFile, `"cookie"`, `"pigeon"`, 1), "carrier"},
		"no readiness address":  {strings.Replace(cookieFile, `"ready": "127.0.0.1:3", `, "", 1), "ready"},
		"secret with cookie":    {with(cookieFile, `"secret": "00"`), "secret"},
		"ready with geneve":     {with(geneveFile, `"ready": "127.0.0.1:9"`), "ready"},
		"force below minimum":   {with(cookieFile, `"force": 10`), "force"},
		"force above maximum":   {with(cookieFile, `"force": 3600000`), "force"},
		"grace below minimum":   {with(cookieFile, `"grace": -1`), "grace"},
		"beat below minimum":    {with(cookieFile, `"beat": 10`), "beat"},
		"figure in quotes":      {with(cookieFile, `"grace": "6"`), "expected a number"},
		"figure too large":      {with(cookieFile, `"beat": 1e300`), "beat"},
		"figure beyond numbers": {with(cookieFile, `"beat": 1e999`), "1e999"},
		"beat with geneve":      {with(geneveFile, `"beat": 1200`), "beat"},
		"unknown field":         {with(cookieFile, `"colour": "red"`), "colour"},
		"seed with a host name": {strings.Replace(cookieFile, "127.0.0.1:5", "seed:5", 1), "seeds[0]"},
		"platform without port": {strings.Replace(cookieFile, "127.0.0.1:4", "127.0.0.1", 1), "platform"},
		"geneve without fabric": {strings.Replace(geneveFile, `"fabric": "127.0.0.1:3", `, "", 1), "fabric"},
		"data as control":       {strings.Replace(geneveFile, "127.0.0.1:2", "127.0.0.1:1", 1), "control: 127.0.0.1:1 is the address of data"},
		"control as ready":      {strings.Replace(cookieFile, "127.0.0.1:3", "127.0.0.1:2", 1), "ready: 127.0.0.1:2 is the address of control"},
		"secret too short":      {strings.Replace(geneveFile, "000102", "", 1), "secret"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := sparconfig.ParseFile([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.names) {
				t.Errorf("error %v, want one that names %s", err, c.names)
			}
		})
	}
}

// TestErrorsNameTheField covers mistakes of types and syntax: the line that an operator sees names the
// line and the field of the file and what was expected there, in words of JSON.
func TestErrorsNameTheField(t *testing.T) {
	for _, c := range []struct{ name, fields, want string }{
		{"text for a list", `"seeds": "127.0.0.1:5"`, "line 2: seeds: a string, expected a list"},
		{"text for a whole number", `"flows": "many"`, "line 2: flows: a string, expected a whole number"},
		{"fraction for a whole number", `"flows": 2.5`, "line 2: flows: 2.5, expected a whole number"},
		{"number for a text", `"log": 7`, "line 2: log: a number, expected a string"},
		{"figure with its unit", `"force": "3s"`, `line 2: force: "3s", expected a number`},
		{"object for a figure", `"force": {}`, "line 2: force: {}, expected a number"},
		{"figure out of range", `"overage": -1`, "overage: -1, expected 0 to 1000000 times"},
		{"figure far out of range", `"beat": 1e300`, "beat: 1e+300, expected 100 to 600000 milliseconds"},
		{"unknown field", `"froce": 1`, `line 2: unknown field "froce"`},
		{"no comma", `"log": "json" "flows": 1`, `line 2, column 15: invalid character '"' after object value (expecting ',' or '}'), expected JSON with comments`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(cookieFile, "{", "{\n"+c.fields+",\n", 1)
			if _, err := sparconfig.ParseFile([]byte(text)); err == nil || err.Error() != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
	for text, want := range map[string]string{
		"7": "line 1: a number, expected an object", "[]": "line 1: a list, expected an object",
		`{"upstreams": [7]}`: "line 1: upstreams: a number, expected an object",
	} {
		if _, err := sparconfig.ParseDocument([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: error %v, want %s", text, err, want)
		}
	}
}

// TestFigures guards against VMs that do not start since a figure of their settings is not written
// as a whole number.
func TestFigures(t *testing.T) {
	const fallback = -1
	units := map[string]time.Duration{"force": time.Millisecond, "grace": time.Second, "beat": time.Millisecond}
	defaults := map[string]float64{"force": sparconfig.DefaultForce, "grace": sparconfig.DefaultGrace, "beat": sparconfig.DefaultBeat}
	for text, want := range map[string]float64{
		"600": 600, "600.5": 600.5, "600.0": 600, "6e2": 600, "0.6005e3": 600.5, "true": fallback, "false": fallback, "null": fallback, "0": fallback,
	} {
		for field, unit := range units {
			t.Run(field+" "+text, func(t *testing.T) {
				f, err := sparconfig.ParseFile([]byte(strings.Replace(cookieFile, "{", fmt.Sprintf("{%q: %s, ", field, text), 1)))
				if err != nil {
					t.Fatal(err)
				}
				carrier := f.CarrierSettings().(sparconfig.CookieCarrier)
				got := map[string]time.Duration{"force": carrier.Force, "grace": carrier.Grace, "beat": carrier.Beat}[field]
				wanted := want
				if want == fallback {
					wanted = defaults[field]
				}
				if got != time.Duration(wanted*float64(unit)) {
					t.Errorf("%v, want %v x %v", got, wanted, unit)
				}
			})
		}
	}
}

func TestBadVMs(t *testing.T) {
	for name, text := range map[string]string{
		"no control address": `{"domain": "north", "data": "10.0.0.1:1"}`,
		"no data address":    `{"domain": "north", "control": "10.0.0.1:1"}`,
		"unreadable":         `{"domain": `,
		"another type":       `[]`,
	} {
		t.Run(name, func(t *testing.T) {
			if v, err := sparconfig.ParseVM("vm-1", []byte(text)); err == nil {
				t.Errorf("accepted as %+v", v)
			}
		})
	}
}
