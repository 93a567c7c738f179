package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
)

// unknownFields holds the fields of a stored object that this release does not know.
// They are written back unchanged, so that an older instance that settles a service
// does not drop data of a newer release.
type unknownFields map[string]json.RawMessage

// unmarshalWithUnknown decodes an object into known, a pointer to a struct, and
// returns the fields that the struct does not have.
func unmarshalWithUnknown(data []byte, known any) (unknownFields, error) {
	if err := json.Unmarshal(data, known); err != nil {
		return nil, err
	}
	names := cachedJSONNames(reflect.TypeOf(known).Elem())
	if !hasUnknownField(data, names) {
		return nil, nil
	}
	var all unknownFields
	if err := json.Unmarshal(data, &all); err != nil {
		return nil, err
	}
	maps.DeleteFunc(all, func(name string, _ json.RawMessage) bool {
		return slices.ContainsFunc(names, func(n string) bool { return strings.EqualFold(n, name) })
	})
	if len(all) == 0 {
		return nil, nil
	}
	return all, nil
}

// marshalWithUnknown encodes a struct and appends the unknown fields, sorted by name.
func marshalWithUnknown(known any, unknown unknownFields) ([]byte, error) {
	data, err := json.Marshal(known)
	if err != nil || len(unknown) == 0 {
		return data, err
	}
	out := bytes.NewBuffer(bytes.TrimSuffix(data, []byte("}")))
	for _, name := range slices.Sorted(maps.Keys(unknown)) {
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		quoted, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		out.Write(quoted)
		out.WriteByte(':')
		out.Write(unknown[name])
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// hasUnknownField reports whether a valid JSON object has a field that is not in
// names. A known name that is written with escapes may be a false positive.
func hasUnknownField(object []byte, names []string) bool {
	depth, inKey := 0, false
	for i := 0; i < len(object); i++ {
		switch object[i] {
		case '{', '[':
			depth++
			inKey = depth == 1
		case '}', ']':
			depth--
		case ',':
			inKey = depth == 1
		case ':':
			inKey = false
		case '"':
			end := stringEnd(object, i+1)
			if inKey && !slices.Contains(names, string(object[i+1:end])) {
				return true
			}
			i = end
		}
	}
	return false
}

// stringEnd returns the index of the quote that closes the string whose content
// begins at start.
func stringEnd(data []byte, start int) int {
	for i := start; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(data)
}

// jsonNamesByType caches the results of jsonNames by type.
var jsonNamesByType sync.Map

// cachedJSONNames returns jsonNames from the cache.
func cachedJSONNames(t reflect.Type) []string {
	if names, known := jsonNamesByType.Load(t); known {
		return names.([]string)
	}
	names, _ := jsonNamesByType.LoadOrStore(t, jsonNames(t))
	return names.([]string)
}

// jsonNames returns the JSON field names of a struct type, with those of embedded
// structs.
func jsonNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous && name == "":
			names = append(names, jsonNames(field.Type)...)
		case name != "" && name != "-":
			names = append(names, name)
		}
	}
	return names
}
