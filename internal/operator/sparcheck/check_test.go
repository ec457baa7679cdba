package sparcheck_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/operator/sparcheck"
	"github.com/oleanderspar/oleanderspar/platform/sparfake"
)

var (
	front = sparflow.MakeEndpoint(0xc6120001, 443) // 198.18.0.1:443
	back  = sparflow.MakeEndpoint(0xc6120001, 444)
)

// assertFindings checks that a report has exactly these findings.
func assertFindings(t *testing.T, r sparcheck.Report, want ...string) {
	t.Helper()
	if got := lines(r); !slices.Equal(got, want) {
		t.Errorf("findings\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// lines returns the findings of a report as text.
func lines(r sparcheck.Report) []string {
	list := []string{}
	for _, f := range r.Findings {
		list = append(list, fmt.Sprintf("%s %s: %s", f.Level, f.Where, f.Text))
	}
	return list
}

// TestConfiguration covers what an operator may get wrong in the document of all routes: what VMs
// leave out, what never matches, and limits that contradict each other.
func TestConfiguration(t *testing.T) {
	route := func(change func(r *sparfake.Route)) []sparfake.Route {
		r := sparfake.Route{At: front, Service: "booking", Name: "a"}
		change(&r)
		return []sparfake.Route{r}
	}
	good := route(func(*sparfake.Route) {})
	booking := []sparfake.Service{{Name: "booking"}}
	tests := []struct {
		name string
		d    sparfake.Document
		want []string
	}{
		{"good", sparfake.Document{Routes: good, Services: booking}, []string{}},
		{"no routes", sparfake.Document{}, []string{"warning routes: none, new flows are refused everywhere"}},
		{
			"same address", sparfake.Document{Routes: []sparfake.Route{good[0], {At: back, Service: "booking"}, {At: front, Service: "receipts", Name: "b"}}},
			[]string{"warning route a 198.18.0.1:443: never matches, route b 198.18.0.1:443 has the same address and comes later"},
		},
		{
			"the same route twice", sparfake.Document{Routes: []sparfake.Route{good[0], good[0]}},
			[]string{"warning route a 198.18.0.1:443: never matches, route a 198.18.0.1:443 has the same address and comes later"},
		},
		{
			"weights of 0", sparfake.Document{Routes: route(func(r *sparfake.Route) { r.Service, r.Weights = "", sparfake.Weights{{Service: "booking"}} })},
			[]string{"warning route a 198.18.0.1:443: takes no new flows, no target has a weight above 0"},
		},
		{"one weight of 0", sparfake.Document{Routes: route(func(r *sparfake.Route) {
			r.Service, r.Weights = "", sparfake.Weights{{Service: "booking"}, {Service: "receipts", Weight: 1}}
		})}, []string{}},
		{
			"no target", sparfake.Document{Routes: route(func(r *sparfake.Route) { r.Service = "" })},
			[]string{"warning route a 198.18.0.1:443: takes no new flows, no target has a weight above 0"},
		},
		{
			"unknown service, and one without routes", sparfake.Document{Routes: good, Services: []sparfake.Service{{Name: "bookings"}}},
			[]string{"warning route a 198.18.0.1:443: its target booking is not among the services", "warning service bookings: gets no flows, no route names it"},
		},
		{
			"timeout below the objective", sparfake.Document{Routes: route(func(r *sparfake.Route) { r.Timeout, r.Objective = 300*time.Millisecond, 400*time.Millisecond })},
			[]string{"warning route a 198.18.0.1:443: clients give up after 300ms, before its latency objective of 400ms"},
		},
		{"timeout at the objective", sparfake.Document{Routes: route(func(r *sparfake.Route) { r.Timeout, r.Objective = time.Second, time.Second })}, []string{}},
		{
			"timeout above the idle timeout", sparfake.Document{Routes: route(func(r *sparfake.Route) { r.Timeout = 3 * time.Second }), Idle: 2 * time.Second},
			[]string{"warning route a 198.18.0.1:443: clients wait for 3s, longer than the idle timeout of 2s"},
		},
		{
			"idle timeout above the longest life", sparfake.Document{Routes: good, Idle: 61 * time.Second},
			[]string{"warning limits: idle timeout 1m1s is longer than the longest life of a flow, 1m0s"},
		},
		{"idle timeout at the longest life", sparfake.Document{Routes: good, Idle: time.Minute}, []string{}},
		{
			"warm-up without a rate", sparfake.Document{Routes: good, Services: []sparfake.Service{{Name: "booking", WarmTime: 10 * time.Second}}},
			[]string{"warning service booking: its warm-up of 10s has no rate, so nothing limits it"},
		},
		{"warm-up with a rate", sparfake.Document{Routes: good, Services: []sparfake.Service{{Name: "booking", WarmTime: 10 * time.Second, WarmRate: 5}}}, []string{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.d.Version = 3
			r, err := sparcheck.Check(test.d.Text())
			if err != nil || r.Kind != sparcheck.Configuration {
				t.Fatalf("kind %q, error %v", r.Kind, err)
			}
			assertFindings(t, r, test.want...)
		})
	}
	t.Run("a route that can't be used", func(t *testing.T) {
		d := sparfake.Document{Version: 3, Routes: []sparfake.Route{{At: sparflow.MakeEndpoint(0xc6120001, 0), Service: "booking", Name: "b"}, good[0]}}
		r, err := sparcheck.Check(d.Text())
		if err != nil || len(r.Findings) != 1 || r.Worst() != sparcheck.Error || !strings.Contains(r.Findings[0].Text, "left out, route b: port") {
			t.Errorf("findings %+v, error %v", r.Findings, err)
		}
	})
	t.Run("no version", func(t *testing.T) {
		if _, err := sparcheck.Check([]byte(`{"routes": []}`)); err == nil || !strings.Contains(err.Error(), "no version") {
			t.Errorf("error %v", err)
		}
	})
}

// TestSyntaxOfConfiguration covers a document of all routes with comments, which VMs refuse, and one
// whose list of routes has another name.
func TestSyntaxOfConfiguration(t *testing.T) {
	text := string(sparfake.Document{Version: 3, Routes: []sparfake.Route{{At: front, Service: "booking"}}}.Text())
	_, err := sparcheck.Check([]byte("// ours\n" + text + "\n"))
	if err == nil || !strings.HasPrefix(err.Error(), "line 1: invalid character '/'") || !strings.HasSuffix(err.Error(), "expected JSON without comments") {
		t.Errorf("error %v", err)
	}
	r, err := sparcheck.Check([]byte(strings.Replace(text, "routes", "route", 1)))
	if err != nil || r.Kind != sparcheck.Configuration {
		t.Fatalf("kind %q, error %v", r.Kind, err)
	}
	assertFindings(t, r, "warning routes: none, new flows are refused everywhere")
}

// TestNamesOfConfiguration guards against a check that finds nothing wrong with names and bytes of which VMs
// make something else than the operator.
func TestNamesOfConfiguration(t *testing.T) {
	text := string(sparfake.Document{Version: 3, Routes: []sparfake.Route{{At: front, Service: "booking", Name: "a"}}}.Text())
	for old, c := range map[string][2]string{
		`"routes"`:            {`"ROUTES"`, `error configuration: "ROUTES" is passed over, expected routes`},
		`"service":"booking"`: {`"service":"booking","Priority":1`, `error route a: "Priority" is passed over, expected priority`},
	} {
		r, err := sparcheck.Check([]byte(strings.Replace(text, old, c[0], 1)))
		if err != nil || r.Worst() != sparcheck.Error || !slices.Contains(lines(r), c[1]) {
			t.Errorf("%s: findings %v, error %v, want %s", c[0], lines(r), err, c[1])
		}
	}
	for name, c := range map[string]struct{ old, with, want string }{
		"all in capitals": {"", "", "no version"},
		"name twice":      {"{", "{\n\"version\":2,\n", "line 3: version: named more than once"},
		"Latin-1":         {`"name":"a"`, "\n\"name\":\"\xe4\"", "line 2: routes.name: text that isn't UTF-8"},
	} {
		written := strings.ToUpper(text)
		if c.old != "" {
			written = strings.Replace(text, c.old, c.with, 1)
		}
		if _, err := sparcheck.Check([]byte(written)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %s", name, err, c.want)
		}
	}
}

// TestConfigurationAgainst covers what differs from the version in force, and versions that VMs pass
// over.
func TestConfigurationAgainst(t *testing.T) {
	before := sparfake.Document{
		Version: 5, Services: []sparfake.Service{{Name: "booking", WarmRate: 5}, {Name: "receipts"}},
		Routes: []sparfake.Route{{At: front, Service: "booking", Name: "a"}, {At: back, Service: "receipts", Name: "b"}},
	}
	now := sparfake.Document{
		Version: 7, Idle: 20 * time.Second, Services: []sparfake.Service{{Name: "booking", WarmRate: 6}, {Name: "search"}},
		Routes: []sparfake.Route{
			{At: back + 1, Service: "search", Name: "c"},
			{At: front, Name: "a", Once: true, Weights: sparfake.Weights{{Service: "booking", Weight: 3}, {Service: "search", Weight: 1}}, Timeout: time.Second, Objective: 100 * time.Millisecond},
		},
	}
	against := func(now, before sparfake.Document) sparcheck.Report {
		r, err := sparcheck.Against(now.Text(), before.Text())
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	assertFindings(t, against(now, before),
		"change limits: idle timeout 20s, before 15s",
		"change route a 198.18.0.1:443: targets booking:3,search:1, before booking:1",
		"change route a 198.18.0.1:443: repeatable false, before true",
		"change route a 198.18.0.1:443: latency objective 100ms, before 0s",
		"change route a 198.18.0.1:443: timeout 1s, before 0s",
		"change route b 198.18.0.1:444: removed, its open flows end",
		"change route c 198.18.0.1:445: added, to search:1",
		"change service booking: warm-up rate 6, before 5",
		"change service search: added",
		"change service receipts: removed",
	)
	reordered := before
	reordered.Version = 6
	reordered.Routes = []sparfake.Route{before.Routes[1], before.Routes[0]}
	assertFindings(t, against(reordered, before))
	assertFindings(t, against(before, before), "error version: 5 is that in force, versions must rise")
	assertFindings(t, against(before, reordered), "error version: 5 is lower than version 6 in force, VMs pass it over")
}

const booking = `{"address": "198.51.100.1:443", "proto": "tcp", // comments are fine
	"upstreams": [{"at": "10.0.0.1:80", "domain": "north"}, {"at": "10.0.0.2:80", "domain": "south"}], "spread": 0.05}`

// TestService covers documents of one service.
func TestService(t *testing.T) {
	replace := func(from, to string) string {
		if !strings.Contains(booking, from) {
			t.Fatalf("no %q", from)
		}
		return strings.ReplaceAll(booking, from, to)
	}
	tests := []struct {
		name, text string
		want       []string
	}{
		{"good", booking, []string{}},
		{"no upstreams", `{"address": "198.51.100.1:443", "proto": "udp"}`, []string{"warning service: no upstreams, new flows are refused"}},
		{"all drain", replace(`", "domain": "`, `", "state": "drain", "until": 1800000000, "domain": "`), []string{"warning service: all upstreams drain, new flows are refused"}},
		{"idle of tcp", replace(`"spread": 0.05`, `"idle": 60`), []string{"warning service: idle has no effect, it is for udp"}},
		{"silent of udp", strings.Replace(replace(`"spread": 0.05`, `"silent": 60`), "tcp", "udp", 1), []string{"warning service: silent has no effect, it is for tcp"}},
		{"no domain", replace(`, "domain": "south"`, ""), []string{"warning upstream 10.0.0.2:80: names no failure domain, so no evacuation concerns it"}},
		{"until while serving", replace(`"domain": "south"`, `"domain": "south", "until": 1800000000`), []string{"warning upstream 10.0.0.2:80: until has no effect, it is for the state drain"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, err := sparcheck.Check([]byte(test.text))
			if err != nil || r.Kind != sparcheck.Service {
				t.Fatalf("kind %q, error %v", r.Kind, err)
			}
			assertFindings(t, r, test.want...)
		})
	}
	for name, text := range map[string]string{"bad address": replace("10.0.0.1:80", "10.0.0.1"), "no JSON": "{", "empty": "", "list": "[]"} {
		if _, err := sparcheck.Check([]byte(text)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestServiceAgainst(t *testing.T) {
	now := `{"address": "198.51.100.1:444", "proto": "tcp", "drain": 60, "warm": 10,
		"upstreams": [{"at": "10.0.0.1:80", "domain": "west", "state": "drain", "until": 1800000000}, {"at": "10.0.0.3:80", "domain": "south"}]}`
	r, err := sparcheck.Against([]byte(now), []byte(booking))
	if err != nil {
		t.Fatal(err)
	}
	assertFindings(t, r,
		"change service: address 198.51.100.1:444, before 198.51.100.1:443",
		"change service: drain 1m0s, before 4h0m0s",
		"change service: warm 10s, before 0s",
		"change upstream 10.0.0.1:80: domain west, before north",
		"change upstream 10.0.0.1:80: state drain, before serve",
		"change upstream 10.0.0.3:80: added",
		"change upstream 10.0.0.2:80: removed, its open flows end",
	)
	for name, inForce := range map[string]string{
		"another kind": string(sparfake.Document{Version: 1}.Text()), "unusable": "{",
	} {
		if _, err := sparcheck.Against([]byte(now), []byte(inForce)); err == nil {
			t.Errorf("%s: compared", name)
		}
	}
}

// ExampleCheck checks a document in which one upstream is out of reach of evacuations.
func ExampleCheck() {
	r, err := sparcheck.Check([]byte(`{"address": "198.51.100.1:443", "proto": "tcp",
		"upstreams": [{"at": "10.0.0.1:80", "domain": "north"}, {"at": "10.0.0.2:80"}]}`))
	if err != nil {
		panic(err)
	}
	for _, f := range r.Findings {
		fmt.Println(f.Level, f.Where, f.Text)
	}
	// Output: warning upstream 10.0.0.2:80 names no failure domain, so no evacuation concerns it
}

// FuzzCheck checks that no document ends the process, alone or against itself.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(booking))
	f.Add(sparfake.Document{Version: 3, Routes: []sparfake.Route{{At: front, Service: "booking"}}}.Text())
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := sparcheck.Check(text); err != nil {
			return
		}
		r, err := sparcheck.Against(text, text)
		if err != nil {
			t.Fatal(err)
		}
		for _, finding := range r.Findings {
			if finding.Level == sparcheck.Change {
				t.Errorf("a change against itself: %+v", finding)
			}
		}
	})
}
