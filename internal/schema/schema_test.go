package schema

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"balsamfork/declare"
	"balsamfork/examples/deployment"
	"balsamfork/internal/config"
)

func compiled(t testing.TB) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(declare.Schema()))
	if err != nil {
		t.Fatal(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("balsamfork.json", doc); err != nil {
		t.Fatal(err)
	}
	s, err := c.Compile("balsamfork.json")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func valid(t testing.TB, s *jsonschema.Schema, data []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return err
	}
	return s.Validate(doc)
}

func examples(t testing.TB) [][]byte {
	var all [][]byte
	for _, c := range []*declare.Config{deployment.Kernhaven(), deployment.Vitols()} {
		var b bytes.Buffer
		if err := c.Print(&b); err != nil {
			t.Fatal(err)
		}
		all = append(all, b.Bytes())
	}
	return all
}

func TestSchemaIsGenerated(t *testing.T) {
	is := is.New(t)
	data, err := Generate()
	is.NoErr(err)
	is.Equal(string(data), string(declare.Schema())) // else run go generate ./declare
}

// TestSchemaAgrees breaks the examples in each way that a schema can tell, and
// wants the schema and the validation to refuse all of them.
func TestSchemaAgrees(t *testing.T) {
	is := is.New(t)
	s := compiled(t)
	for _, data := range examples(t) {
		is.NoErr(valid(t, s, data))
		_, err := config.ParseDocument(data)
		is.NoErr(err)
		for field, bad := range map[string][]any{
			"name": {"", "a b", 7, nil}, "address": {"203.0.113.1", "", 7}, "protocol": {"TCP", ""},
			"idleLimit": {"soon", 9}, "slots": {0, 1.5, "4"}, "ramp": {map[string]any{"start": 0, "duration": "1s"}},
			"backendServers": {nil, map[string]any{}}, "colour": {"red"},
		} {
			for _, value := range bad {
				broken := with(data, func(doc map[string]any) { service(doc)[field] = value })
				is.True(valid(t, s, broken) != nil)
				_, err := config.ParseDocument(broken)
				is.True(err != nil)
			}
		}
		for _, field := range []string{"name", "address", "protocol", "slots", "backendServers"} {
			broken := with(data, func(doc map[string]any) { delete(service(doc), field) })
			is.True(valid(t, s, broken) != nil)
			_, err := config.ParseDocument(broken)
			is.True(err != nil)
		}
		for field, value := range map[string]any{"weight": 0, "state": "gone", "packets": "x:1", "health": "ftp://127.0.0.1", "dataCentre": ""} {
			broken := with(data, func(doc map[string]any) {
				service(doc)["backendServers"].([]any)[0].(map[string]any)[field] = value
			})
			is.True(valid(t, s, broken) != nil)
			_, err := config.ParseDocument(broken)
			is.True(err != nil)
		}
	}
}

func service(doc map[string]any) map[string]any {
	return doc["services"].([]any)[0].(map[string]any)
}

func with(data []byte, change func(map[string]any)) []byte {
	var doc map[string]any
	if err := json.Unmarshal(data, &doc); err != nil {
		panic(err)
	}
	change(doc)
	out, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return out
}

// FuzzSchema looks for a document that the validation takes and the schema
// refuses.
func FuzzSchema(f *testing.F) {
	s := compiled(f)
	for _, data := range examples(f) {
		f.Add(data)
	}
	f.Add([]byte(`{"format":1,"dataCentres":[{"name":"a"}],"services":[{"name":"s","address":"[::1]:1","protocol":"udp",` +
		`"idleLimit":"+.5h","slots":1,"backendServers":[{"name":"x","dataCentre":"a","packets":"127.0.0.1:1","weight":1,"health":"HTTP://127.0.0.1"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := config.ParseDocument(data); err != nil {
			return
		}
		if err := valid(t, s, data); err != nil {
			t.Fatal(err)
		}
	})
}
