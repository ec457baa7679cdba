package sparconfig

import (
	"math"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
)

// maxPlain is the largest figure that is written without an exponent.
const maxPlain = 1e12

// Figure is a number in a settings file, whole or with a fraction, in the unit of its field. 0 is
// unset. In JSON it may also be true, false or null, which set no number: a platform that fills in a
// template may have a flag where it has no limit.
type Figure float64

// UnmarshalJSON implements json.Unmarshaler.
func (n *Figure) UnmarshalJSON(text []byte) (err error) {
	switch string(text) {
	case "true", "false", "null":
		*n = 0
		return nil
	}
	value, err := sparjson.ParseNumber(text)
	*n = Figure(value)
	return err
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
