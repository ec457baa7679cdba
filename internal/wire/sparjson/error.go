package sparjson

import (
	"bytes"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/juju/errors"
)

const (
	// Number is the kind of a number, whole or with a fraction.
	Number Kind = "a number"
	// WholeNumber is the kind of a number without a fraction.
	WholeNumber Kind = "a whole number"

	stringKind Kind = "a string"
	listKind   Kind = "a list"
	objectKind Kind = "an object"
	boolKind   Kind = "true or false"
	otherKind  Kind = "another value"
)

type (
	// Kind is a kind of JSON values, in words.
	Kind string

	// Error is an error in a text.
	Error struct {
		Field  string // names from the outermost field on with dots between them, "" for the whole text
		Offset int64  // bytes before the error
		Cause  string
	}

	// KindError is the error of a type that decodes its own values. Decode adds the field.
	KindError struct {
		Value string // as written
		Want  Kind
	}
)

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Cause
	}
	return e.Field + ": " + e.Cause
}

// Line returns the line of a text that the error is in. The first one is 1.
func (e *Error) Line(text []byte) int {
	return 1 + bytes.Count(text[:min(e.Offset, int64(len(text)))], []byte("\n"))
}

// Error implements error.
func (e *KindError) Error() string { return fmt.Sprintf("%s, expected %s", e.Value, e.Want) }

// newError translates an error of the library about a text.
func newError(err error, source []byte) error {
	var syntax *jsontext.SyntacticError
	if errors.As(err, &syntax) {
		return syntaxError(syntax, source)
	}
	var meaning *json.SemanticError
	if !errors.As(err, &meaning) {
		return &Error{Cause: err.Error()}
	}
	e := &Error{Field: fieldOf(meaning.JSONPointer), Offset: meaning.ByteOffset}
	var kind *KindError
	switch {
	case errors.Is(err, json.ErrUnknownName):
		e.Field, e.Cause = "", "unknown field "+strconv.Quote(meaning.JSONPointer.LastToken())
	case errors.As(err, &kind):
		e.Cause = kind.Error()
	default:
		e.Cause = (&KindError{Value: valueOf(meaning), Want: kindOf(meaning.GoType)}).Error()
	}
	return e
}

func syntaxError(err *jsontext.SyntacticError, source []byte) *Error {
	e := &Error{Field: fieldOf(err.JSONPointer), Offset: err.ByteOffset}
	switch {
	case errors.Is(err, jsontext.ErrDuplicateName):
		e.Cause = "named more than once"
	case !utf8.Valid(source):
		e.Cause = "text that isn't UTF-8"
	default:
		e.Cause = strings.TrimPrefix(err.Err.Error(), "jsontext: ") + ", expected JSON without comments"
	}
	return e
}

// fieldOf returns the names in a pointer, without places in lists.
func fieldOf(pointer jsontext.Pointer) string {
	var names []string
	for token := range pointer.Tokens() {
		if _, err := strconv.Atoi(token); err != nil {
			names = append(names, token)
		}
	}
	return strings.Join(names, ".")
}

// valueOf returns the value that has the wrong kind, or its kind if that says enough.
func valueOf(err *json.SemanticError) string {
	if len(err.JSONValue) > 0 {
		return shorten(err.JSONValue)
	}
	switch err.JSONKind {
	case '"':
		return string(stringKind)
	case '0':
		return string(Number)
	case '[':
		return string(listKind)
	case '{':
		return string(objectKind)
	case 't', 'f':
		return string(boolKind)
	}
	return string(otherKind)
}

// kindOf returns the kind of JSON values that a type holds.
func kindOf(t reflect.Type) Kind {
	if t == nil {
		return otherKind
	}
	switch t.Kind() {
	case reflect.Pointer:
		return kindOf(t.Elem())
	case reflect.Slice, reflect.Array:
		return listKind
	case reflect.Struct, reflect.Map:
		return objectKind
	case reflect.Float32, reflect.Float64:
		return Number
	case reflect.String:
		return stringKind
	case reflect.Bool:
		return boolKind
	}
	return WholeNumber
}
