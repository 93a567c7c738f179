package strictjson

import (
	"testing"

	"github.com/matryer/is"
)

type sample struct {
	Name  string `json:"name"`
	Items []struct {
		Size int `json:"size" jsonschema:"minimum=1"`
	} `json:"items,omitempty"`
}

func TestDecodeNamesEveryField(t *testing.T) {
	is := is.New(t)
	var s sample
	problems := Decode([]byte(`{"nme":"x","items":[{"size":1},{"size":"big"},{"size":0}]}`), &s)
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	want := map[string]bool{"nme": true, "name": true, "items[1].size": true, "items[2].size": true}
	is.Equal(len(paths), len(want))
	for _, path := range paths {
		is.True(want[path]) // a path that was not expected
	}
	is.Equal(s, sample{}) // nothing is taken from a faulty document
}

func TestDecodeAcceptsAndRefusesWholeDocuments(t *testing.T) {
	is := is.New(t)
	var s sample
	is.NoErr(Decode([]byte(`{"name":"x"}`), &s).Err())
	is.Equal(s.Name, "x")
	is.True(Decode([]byte(`{"name":`), &s).Err() != nil)
	is.True(Decode([]byte(`{"name":"x"} {}`), &s).Err() != nil)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name":"x","items":[{"size":3}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s sample
		problems := Decode(data, &s)
		if len(problems) > 0 && s.Name != "" {
			t.Fatalf("decoded a faulty document: %v", problems)
		}
	})
}
