package sparconfig

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// kindNames are the kinds of JSON values as encoding/json calls them, and as errors here do.
var kindNames = map[string]string{
	"string": "a string", "number": "a number", "array": "a list", "object": "an object", "bool": "true or false",
}

// decode parses JSON with comments into to. It refuses unknown fields.
func decode(text []byte, to any) error {
	if err := checkDepth(text); err != nil {
		return err
	}
	standard, err := hujson.Standardize(bytes.Clone(text)) // it overwrites comments in place
	if err != nil {
		return errors.Errorf("%s, expected JSON with comments", strings.TrimPrefix(err.Error(), "hujson: "))
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		cause := strings.TrimPrefix(FieldError(err).Error(), "json: ")
		return errors.Errorf("line %d: %s", lineOf(standard, offsetOf(standard, err)), cause)
	}
	if decoder.More() {
		return errors.Errorf("line %d: expected nothing after the document", lineOf(standard, decoder.InputOffset()))
	}
	return nil
}

// FieldError returns an error of encoding/json about a value of another type as one that names the
// field and what was expected there, and any other error as it is.
func FieldError(err error) error {
	var wrong *json.UnmarshalTypeError
	if !errors.As(err, &wrong) {
		return err
	}
	value := strings.TrimPrefix(wrong.Value, "number ")
	if name, ok := kindNames[value]; ok {
		value = name
	}
	field := wrong.Field
	if field != "" {
		field += ": "
	}
	return errors.Errorf("%s%s, expected %s", field, value, expected(wrong.Type))
}

// expected names the JSON value that a type is decoded from.
func expected(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Slice, reflect.Array:
		return kindNames["array"]
	case reflect.Struct, reflect.Map:
		return kindNames["object"]
	case reflect.Float32, reflect.Float64:
		return kindNames["number"]
	case reflect.String:
		return kindNames["string"]
	case reflect.Bool:
		return kindNames["bool"]
	}
	return "a whole number"
}

// offsetOf returns where in text the field stands that an error of encoding/json is about.
func offsetOf(text []byte, err error) int64 {
	var wrong *json.UnmarshalTypeError
	field, unknown := strings.CutPrefix(err.Error(), "json: unknown field ")
	switch {
	case unknown:
	case errors.As(err, &wrong) && wrong.Offset > 0:
		return wrong.Offset
	case wrong != nil:
		field = strconv.Quote(wrong.Field)
	default:
		return int64(len(text))
	}
	return int64(max(bytes.Index(text, []byte(field)), 0))
}

func lineOf(text []byte, offset int64) int {
	offset = min(offset, int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
