package sparconfig

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

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
		return errors.Errorf("%s, expected a number", text)
	}
	return nil
}

// duration returns the figure as a number of units.
func (n Figure) duration(unit time.Duration) time.Duration {
	return time.Duration(float64(n) * float64(unit))
}

// check returns an error that names the field unless the figure is within a range.
func (n Figure) check(field string, least, most Figure, unit string) error {
	if n < least || n > most {
		return errors.Errorf("%s: %v, expected %v to %v %s", field, float64(n), float64(least), float64(most), unit)
	}
	return nil
}
