package sparconfig

import (
	"bytes"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"github.com/oleanderspar/oleanderspar/internal/wire/sparjson"
)

// decode parses JSON with comments, for instance with sparjson.Decode. Errors name the line.
func decode[T any](text []byte, parse func([]byte) (T, error)) (value T, err error) {
	if err := checkDepth(text); err != nil {
		return value, err
	}
	standard, err := hujson.Standardize(bytes.Clone(text)) // it overwrites comments in place
	if err != nil {
		return value, errors.Errorf("%s, expected JSON with comments", strings.TrimPrefix(err.Error(), "hujson: "))
	}
	value, err = parse(standard)
	var wrong *sparjson.Error
	if errors.As(err, &wrong) {
		return value, errors.Errorf("line %d: %s", wrong.Line(standard), wrong)
	}
	return value, err
}
