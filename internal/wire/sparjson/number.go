package sparjson

import (
	"strconv"
	"unicode/utf8"
)

// maxValue is the number of bytes of a value in an error.
const maxValue = 100

// ParseNumber parses a JSON value that must be a number. Numbers in quotes, and those beyond a float64,
// are errors of type *KindError.
func ParseNumber(text []byte) (value float64, err error) {
	if len(text) == 0 || text[0] != '-' && (text[0] < '0' || text[0] > '9') {
		return 0, NewKindError(text, Number)
	}
	if value, err = strconv.ParseFloat(string(text), 64); err != nil {
		return 0, NewKindError(text, Number)
	}
	return value, nil
}

// NewKindError returns the error of a value that is not of the kind wanted.
func NewKindError(value []byte, want Kind) error {
	return &KindError{Value: shorten(value), Want: want}
}

// shorten returns a value, or its beginning if it is longer than maxValue.
func shorten(value []byte) string {
	if len(value) <= maxValue {
		return string(value)
	}
	n := maxValue
	for n > 0 && !utf8.RuneStart(value[n]) {
		n--
	}
	return string(value[:n]) + "..."
}
