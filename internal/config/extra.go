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

// extra holds the fields of a stored object that this release does not know.
// They are kept and written back, so that an older instance that settles a
// service loses nothing of what a newer release stored.
type extra map[string]json.RawMessage

// unmarshalKeeping decodes an object into known, a pointer to a struct, and
// returns the fields that the struct does not have.
func unmarshalKeeping(data []byte, known any) (extra, error) {
	if err := json.Unmarshal(data, known); err != nil {
		return nil, err
	}
	names := namesOf(reflect.TypeOf(known).Elem())
	if !hasOthers(data, names) {
		return nil, nil
	}
	var all extra
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

// marshalKeeping encodes a struct and adds the unknown fields, in order of name.
func marshalKeeping(known any, more extra) ([]byte, error) {
	data, err := json.Marshal(known)
	if err != nil || len(more) == 0 {
		return data, err
	}
	out := bytes.NewBuffer(bytes.TrimSuffix(data, []byte("}")))
	for _, name := range slices.Sorted(maps.Keys(more)) {
		if out.Len() > 1 {
			out.WriteByte(',')
		}
		quoted, err := json.Marshal(name)
		if err != nil {
			return nil, err
		}
		out.Write(quoted)
		out.WriteByte(':')
		out.Write(more[name])
	}
	out.WriteByte('}')
	return out.Bytes(), nil
}

// hasOthers reports whether a valid JSON object has a field beside those named. It
// may report one where there is none, for a name that is written with escapes.
func hasOthers(object []byte, names []string) bool {
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
			end := endOfString(object, i+1)
			if inKey && !slices.Contains(names, string(object[i+1:end])) {
				return true
			}
			i = end
		}
	}
	return false
}

// endOfString returns where the quote is that ends the string begun at start.
func endOfString(data []byte, start int) int {
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

// namesByType holds what jsonNames returns for each type that was asked for.
var namesByType sync.Map

func namesOf(t reflect.Type) []string {
	if names, known := namesByType.Load(t); known {
		return names.([]string)
	}
	names, _ := namesByType.LoadOrStore(t, jsonNames(t))
	return names.([]string)
}

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
