package sparjson

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// LookAlike is a name in an object that a reader passes over and that a person may take for a field.
type LookAlike struct {
	Name  string // as written
	Field string // that it looks like
}

// LookAlikes returns the names in an object that differ from a field of T in nothing but case, hyphens,
// underscores or spaces. A text that is no object has none.
func LookAlikes[T any](text []byte) []LookAlike {
	members, err := Decode[map[string]jsontext.Value](text)
	if err != nil {
		return nil
	}
	var found []LookAlike
	fields := fieldNames(reflect.TypeFor[T]())
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if slices.Contains(fields, name) {
			continue
		}
		if i := slices.IndexFunc(fields, func(field string) bool { return looksAlike(name, field) }); i >= 0 {
			found = append(found, LookAlike{Name: name, Field: fields[i]})
		}
	}
	return found
}

func looksAlike(name, field string) bool {
	bare := strings.NewReplacer("_", "", "-", "", " ", "")
	return strings.EqualFold(bare.Replace(name), bare.Replace(field))
}

// fieldNames returns the names that the fields of a structure have in JSON.
func fieldNames(t reflect.Type) (names []string) {
	for _, field := range reflect.VisibleFields(t) {
		if name, _, _ := strings.Cut(field.Tag.Get("json"), ","); name != "" {
			names = append(names, name)
		}
	}
	return names
}
