package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"
)

// FuzzHasOthers compares hasUnknownField with a JSON decoder. Only known names that
// are written with escapes may be reported as unknown.
func FuzzHasOthers(f *testing.F) {
	names := []string{"a", "name", ""}
	for _, seed := range []string{
		`{}`, `{"a":1}`, ` { "name" : {"b":[{"c":"}"}]} , "a" : ["\"",{"d":"\\"}] } `, `{"":"a","b":null}`,
		`{"a":{"x":1},"x":"a"}`, `{"\u0061":1}`, `{"a":"\\\"","é":[]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var all map[string]json.RawMessage
		if json.Unmarshal(data, &all) != nil {
			return
		}
		want := false
		for name := range all {
			want = want || !slices.Contains(names, name)
		}
		got := hasUnknownField(data, names)
		if got != want && (want || !bytes.Contains(data, []byte(`\`))) {
			t.Fatalf("%s: got %v, want %v", data, got, want)
		}
	})
}
