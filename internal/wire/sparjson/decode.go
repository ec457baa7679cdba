// Package sparjson decodes JSON that other programs have written.
//
// Programs differ in what they make of a text that isn't quite JSON, or that names a field in other
// letters. So that a text means the same to its writer and to each reader, names of fields count
// letter for letter, an object has each name once, and all of the text is UTF-8, also where it is
// not used:
//
//	entry, err := sparjson.Decode[server](text)
//	var wrong *sparjson.Error
//	errors.As(err, &wrong) // names the field
//
// Fields that a type lacks are passed over, since later versions may add some. DecodeKnown refuses
// them.
package sparjson

import "github.com/go-json-experiment/json"

// Decode decodes a text, which may have fields that T lacks. Its errors are of type *Error.
func Decode[T any](text []byte) (value T, err error) { return decode[T](text) }

// DecodeKnown decodes a text that may only have the fields of T. Its errors are of type *Error.
func DecodeKnown[T any](text []byte) (value T, err error) {
	return decode[T](text, json.RejectUnknownMembers(true))
}

func decode[T any](text []byte, options ...json.Options) (value T, err error) {
	if err := json.Unmarshal(text, &value, options...); err != nil {
		var none T
		return none, newError(err, text)
	}
	return value, nil
}
