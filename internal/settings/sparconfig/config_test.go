package sparconfig_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/oleanderspar/oleanderspar/internal/flow/sparflow"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparconfig"
	"github.com/oleanderspar/oleanderspar/internal/settings/sparregistry"
)

const goodDocument = `{
	// the booking desk
	"address": "198.51.100.1:443", "proto": "tcp",
	"upstreams": [{"at": "10.0.0.1:80"}, {"at": "10.0.0.2:80", "state": "drain", "until": 1800000000}],
}`

// ExampleDocument_WithDrain drains one upstream of a document.
func ExampleDocument_WithDrain() {
	d, err := sparconfig.ParseDocument([]byte(goodDocument))
	if err != nil {
		panic(err)
	}
	d, ok := d.WithDrain("10.0.0.1:80", time.Unix(1_800_000_000, 0))
	fmt.Println(ok, d.Upstreams[0].State, d.Upstreams[0].Until)
	// Output: true drain 1800000000
}

// ExampleSnapshot_With shows that an entry with a lower revision has no effect.
func ExampleSnapshot_With() {
	claimEntry := func(at string) sparregistry.Entry {
		e, _ := sparflow.ParseEndpoint(at)
		return sparregistry.Entry{Key: sparconfig.ClaimKey(sparflow.TCP, e), Value: []byte("kalk/booking"), Revision: 1}
	}
	r := sparregistry.Registry{}.With(claimEntry("198.51.100.1:443"), claimEntry("10.0.0.1:80"), claimEntry("10.0.0.2:80"))
	key := sparconfig.ServiceKey("kalk", "booking")
	r = r.With(sparregistry.Entry{Key: key, Value: []byte(goodDocument), Revision: 7})
	r = r.With(sparregistry.Entry{Key: key, Value: []byte("{}"), Revision: 5})
	s := sparconfig.Snapshot{}.With(r)
	fmt.Println(s.Service("kalk/booking").At.Revision, len(s.Problems))
	// Output: 7 0
}

func TestLastGoodDocumentStays(t *testing.T) {
	claims := sparregistry.Registry{}
	for i, at := range []string{"198.51.100.1:443", "10.0.0.1:80", "10.0.0.2:80"} {
		e, _ := sparflow.ParseEndpoint(at)
		claims = claims.With(sparregistry.Entry{
			Key: sparconfig.ClaimKey(sparflow.TCP, e), Value: []byte("kalk/booking"), Revision: uint64(i + 1),
		})
	}
	key := sparconfig.ServiceKey("kalk", "booking")
	r := claims.With(sparregistry.Entry{Key: key, Value: []byte(goodDocument), Revision: 7})
	before := sparconfig.Snapshot{}.With(r)
	after := before.With(r.With(sparregistry.Entry{Key: key, Value: []byte(`{"adress": 1}`), Revision: 9}))
	if s := after.Service("kalk/booking"); s == nil || s.At.Revision != 7 {
		t.Fatalf("service %v, want revision 7", s)
	}
	if len(after.Problems) != 1 || after.Problems[0].At.Revision != 9 || after.Problems[0].Kept != 7 {
		t.Errorf("problems %+v", after.Problems)
	}
}

// TestDeeplyNested guards against texts of another writer that end the process: the parser
// recurses, and a stack that overflows can't be recovered from.
func TestDeeplyNested(t *testing.T) {
	const bytes = 1 << 20
	for name, text := range map[string]string{
		"lists":                                 strings.Repeat("[", bytes),
		"objects":                               strings.Repeat(`{"a":`, bytes/5),
		"whole lists":                           strings.Repeat("[", bytes/2) + strings.Repeat("]", bytes/2),
		"behind strings":                        `{"a[\"": "\\", "b": ` + strings.Repeat("[", bytes),
		"behind a comment, with brackets in it": "{ // ]]]\n /* }}} */ \"a\": " + strings.Repeat("[", bytes),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := sparconfig.ParseVM("vm-1", []byte(text)); err == nil {
				t.Error("a VM is accepted")
			}
			if _, err := sparconfig.ParseDocument([]byte(text)); err == nil {
				t.Error("a document is accepted")
			}
			if _, err := sparconfig.ParseFile([]byte(text)); err == nil {
				t.Error("a settings file is accepted")
			}
		})
	}
	shallow := `{"domain": "[[[{{{", "data": "10.0.0.1:1", /* [[[ */ "control": "10.0.0.1:2"} // ` + strings.Repeat("[", 100) + "\n"
	if _, err := sparconfig.ParseVM("vm-1", []byte(shallow)); err != nil {
		t.Errorf("brackets in strings and comments: %v", err)
	}
}

func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(goodDocument))
	f.Add([]byte(`{"upstreams": [{"at": ":"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := sparconfig.ParseDocument(text)
		if err != nil {
			return
		}
		if _, err := sparconfig.ParseDocument(d.Text()); err != nil {
			t.Errorf("a valid document is refused after Text: %v", err)
		}
	})
}

func FuzzParseFile(f *testing.F) {
	f.Add([]byte(`{"name": "vm-1", "domain": "north", "data": "127.0.0.1:1", "control": "127.0.0.1:2",
		"fabric": "127.0.0.1:3", "platform": "127.0.0.1:4", "secret": "000102030405060708090a0b0c0d0e0f"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := sparconfig.ParseFile(text)
		if err == nil {
			file.Keys()
		}
	})
}

// TestParsingLeavesTheText guards against comments that vanish from an entry of a registry when it is
// parsed: the entry is shared, and one read again would count as another value.
// TestNamesOfOtherWriters guards against values that VMs of this version take for one that names its fields
// in other letters, or twice, and against entries of a later version that has added fields.
func TestNamesOfOtherWriters(t *testing.T) {
	const text = `{"domain": "north", "data": "10.0.0.1:1", "control": "10.0.0.1:2", "state": "live", "more": 1}`
	if v, err := sparconfig.ParseVM("vm-1", []byte(text)); err != nil || v.Domain != "north" || v.State != sparconfig.Live {
		t.Errorf("%+v, error %v", v, err)
	}
	if v, err := sparconfig.ParseVM("vm-1", []byte(strings.Replace(text, `"more"`, `"State"`, 1))); err != nil || v.State != sparconfig.Live {
		t.Errorf("a further field in other letters: %+v, error %v", v, err)
	}
	for name, replace := range map[string][2]string{
		"capitals": {`"data"`, `"DATA"`}, "long s and others": {`"control"`, `"CONTROL"`}, "twice": {`"more": 1`, `"state": "leaving"`},
		"Latin-1": {`"more": 1`, "\"more\": \"\xe9\""},
	} {
		t.Run(name, func(t *testing.T) {
			if v, err := sparconfig.ParseVM("vm-1", []byte(strings.Replace(text, replace[0], replace[1], 1))); err == nil {
				t.Errorf("a VM %+v", v)
			}
			document := strings.NewReplacer(`"address"`, `"ADDRESS"`).Replace(goodDocument)
			if _, err := sparconfig.ParseDocument([]byte(document)); err == nil {
				t.Error("a document")
			}
		})
	}
	if d, _ := sparconfig.ReadEvacuation([]byte(`{"ENDED": true}`)); d.Ended {
		t.Error("an evacuation ended by a field of another name")
	}
}

func TestParsingLeavesTheText(t *testing.T) {
	const text = `{"domain": "north", /* ours */ "data": "10.0.0.1:1", "control": "10.0.0.1:2", "state": "live",} // end` + "\n"
	value := []byte(text)
	if _, err := sparconfig.ParseVM("vm-1", value); err != nil {
		t.Fatal(err)
	}
	if string(value) != text {
		t.Errorf("text is now %s", value)
	}
}
