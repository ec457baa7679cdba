package sparjson_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
)

type (
	team struct {
		Name  string   `json:"name"`
		Slots *even    `json:"slots"`
		Seeds []string `json:"seeds"`
		Rate  float64  `json:"rate"`
		Count int      `json:"count"`
		Own   struct {
			Ready bool `json:"ready"`
		} `json:"own"`
	}

	// even is an even number, which decodes itself.
	even int
)

func (n *even) UnmarshalJSON(text []byte) error {
	value, err := sparjson.ParseNumber(text)
	if err != nil || int(value)%2 != 0 {
		return sparjson.NewKindError(text, "an even number")
	}
	*n = even(value)
	return nil
}

func ExampleDecode() {
	t, err := sparjson.Decode[team]([]byte(`{"name": "kalkkirinne", "later": 1}`))
	fmt.Println(t.Name, err)
	_, err = sparjson.Decode[team]([]byte("{\"name\": \"a\",\n\"name\": \"b\"}"))
	var wrong *sparjson.Error
	fmt.Println(errors.As(err, &wrong), wrong.Field, err)
	// Output:
	// kalkkirinne <nil>
	// true name name: named more than once
}

func ExampleLookAlikes() {
	fmt.Println(sparjson.LookAlikes[team]([]byte(`{"NAME": "a", "Seeds": [], "slots": 2, "other": 1}`)))
	// Output: [{NAME name} {Seeds seeds}]
}

// TestErrors covers the words of errors, which operators read.
func TestErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{"name": 7}`:                      "name: a number, expected a string",
		`{"seeds": "a"}`:                   "seeds: a string, expected a list",
		`{"seeds": [7]}`:                   "seeds: a number, expected a string",
		`{"own": {"ready": "yes"}}`:        "own.ready: a string, expected true or false",
		`{"own": []}`:                      "own: a list, expected an object",
		`{"rate": {}}`:                     "rate: an object, expected a number",
		`{"rate": true}`:                   "rate: true or false, expected a number",
		`{"slots": 3}`:                     "slots: 3, expected an even number",
		`{"slots": "2"}`:                   `slots: "2", expected an even number`,
		`{"own": {"a": 1, "a": 2}}`:        "own.a: named more than once",
		`{"x": {"a": 1, "\u0061": 2}}`:     "x.a: named more than once",
		"{\"x\": \"\xff\"}":                "x: text that isn't UTF-8",
		"{\"\xff\": 1}":                    "text that isn't UTF-8",
		`{"x": "\ud800"}`:                  "x: invalid surrogate pair",
		`{"name": "a" "x": 1}`:             "expected JSON without comments",
		`{} {}`:                            "expected JSON without comments",
		``:                                 "expected JSON without comments",
		`{`:                                "expected JSON without comments",
		`[]`:                               "a list, expected an object",
		`7`:                                "a number, expected an object",
		`{"seeds": ` + list(20_000) + `}`:  "expected",
		`{"more": ` + list(1_000_000):      "expected",
		`{"slots": ` + digits(1_000) + `}`: `..., expected an even number`,
		`{"name": ` + digits(1_000) + `}`:  `expected a string`,
		`{"count": ` + digits(1_000) + `}`: `..., expected a whole number`,
	} {
		t.Run(want, func(t *testing.T) {
			value, err := sparjson.Decode[team]([]byte(text))
			if err == nil || !strings.Contains(err.Error(), want) || len(err.Error()) > 300 {
				t.Errorf("error %v, want %s", err, want)
			}
			if !reflect.ValueOf(value).IsZero() {
				t.Errorf("%+v beside an error", value)
			}
		})
	}
	if _, err := sparjson.DecodeKnown[team]([]byte(`{"nome": 1}`)); err == nil || err.Error() != `unknown field "nome"` {
		t.Errorf("error %v", err)
	}
}

// TestOneReading guards against fields that are read although their name is another one.
func TestOneReading(t *testing.T) {
	for _, name := range []string{"NAME", "Name", "nAme", "name ", " name", "na_me", "\\u004eame"} {
		if got, err := sparjson.Decode[team]([]byte(`{"` + name + `": "a"}`)); err != nil || got.Name != "" {
			t.Errorf("%q is read as name: %+v, error %v", name, got, err)
		}
	}
	if got, err := sparjson.Decode[team]([]byte(`{"n\u0061me": "a"}`)); err != nil || got.Name != "a" {
		t.Errorf("an escaped letter is the letter: %+v, error %v", got, err)
	}
}

func list(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

func digits(n int) string { return strings.Repeat("7", n) }

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "slots": 2, "seeds": ["b"], "own": {"ready": true}}`))
	f.Add([]byte("{\"Name\": \"\xff\"}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var wrong *sparjson.Error
		if _, err := sparjson.Decode[team](text); err != nil && (!errors.As(err, &wrong) || wrong.Line(text) < 1) {
			t.Errorf("error %v of type %T", err, err)
		}
		sparjson.LookAlikes[team](text)
	})
}
