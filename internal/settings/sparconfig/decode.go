package sparconfig

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// decode parses JSON with comments into to. It refuses unknown fields.
func decode(text []byte, to any) error {
	if err := checkDepth(text); err != nil {
		return err
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return errors.Errorf("%v, expected JSON with comments", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		cause := strings.TrimPrefix(err.Error(), "json: ")
		offset := decoder.InputOffset()
		if field, ok := strings.CutPrefix(cause, "unknown field "); ok {
			offset = int64(max(bytes.Index(standard, []byte(field)), 0))
		}
		return errors.Errorf("line %d: %s", lineOf(standard, offset), cause)
	}
	if decoder.More() {
		return errors.Errorf("line %d: expected nothing after the document", lineOf(standard, decoder.InputOffset()))
	}
	return nil
}

func lineOf(text []byte, offset int64) int {
	offset = min(offset, int64(len(text)))
	return 1 + bytes.Count(text[:offset], []byte("\n"))
}
