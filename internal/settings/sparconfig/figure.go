package sparconfig

import (
	"encoding/json"
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// maxPlain is the largest figure that is written without an exponent.
const maxPlain = 1e12

// Figure is a number in a settings file, whole or with a fraction, in the unit of its field. 0 is
// unset. In JSON it may also be true, false or null, which set no number: a platform that fills in a
// template may have a flag where it has no limit.
type Figure float64

// UnmarshalJSON implements json.Unmarshaler.
func (n *Figure) UnmarshalJSON(text []byte) (err error) {
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return err
	}
	switch value := value.(type) {
	case float64:
		*n = Figure(value)
	case bool, nil:
		*n = 0
	default:
		return &json.UnmarshalTypeError{Value: Shorten(string(text)), Type: reflect.TypeFor[float64]()} // the decoder adds the field
	}
	return nil
}

// duration returns the figure as a number of units.
func (n Figure) duration(unit time.Duration) time.Duration {
	return time.Duration(float64(n) * float64(unit))
}

// String returns the figure as it is written in a settings file: without an exponent, unless it is
// beyond any figure in use.
func (n Figure) String() string {
	if math.Abs(float64(n)) > maxPlain {
		return strconv.FormatFloat(float64(n), 'g', -1, 64)
	}
	return strconv.FormatFloat(float64(n), 'f', -1, 64)
}

// check returns an error that names the field unless the figure is within a range.
func (n Figure) check(field string, least, most Figure, unit string) error {
	if n < least || n > most {
		return errors.Errorf("%s: %s, expected %s to %s %s", field, n, least, most, unit)
	}
	return nil
}
