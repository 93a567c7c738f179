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

func compileSchema(t testing.TB) *jsonschema.Schema {
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

func validate(t testing.TB, s *jsonschema.Schema, data []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return err
	}
	return s.Validate(doc)
}

func exampleDocuments(t testing.TB) [][]byte {
	var documents [][]byte
	for _, c := range []*declare.Config{deployment.Kernhaven(), deployment.Vitols()} {
		var b bytes.Buffer
		if err := c.Print(&b); err != nil {
			t.Fatal(err)
		}
		documents = append(documents, b.Bytes())
	}
	return documents
}

func TestSchemaIsUpToDate(t *testing.T) {
	is := is.New(t)
	data, err := Generate()
	is.NoErr(err)
	is.Equal(string(data), string(declare.Schema())) // if it differs, run go generate ./declare
}

// TestSchemaAgreesWithValidation makes the examples invalid in ways that a schema can
// express, and checks that both the schema and the validation reject each of them.
func TestSchemaAgreesWithValidation(t *testing.T) {
	is := is.New(t)
	s := compileSchema(t)
	for _, data := range exampleDocuments(t) {
		is.NoErr(validate(t, s, data))
		_, err := config.ParseDocument(data)
		is.NoErr(err)
		for field, bad := range map[string][]any{
			"name": {"", "a b", 7, nil}, "address": {"203.0.113.1", "", 7}, "protocol": {"TCP", ""},
			"idleLimit": {"soon", 9}, "slots": {0, 1.5, "4"}, "ramp": {map[string]any{"start": 0, "duration": "1s"}},
			"backendServers": {nil, map[string]any{}}, "colour": {"red"},
		} {
			for _, value := range bad {
				broken := modified(data, func(doc map[string]any) { firstService(doc)[field] = value })
				is.True(validate(t, s, broken) != nil)
				_, err := config.ParseDocument(broken)
				is.True(err != nil)
			}
		}
		for _, field := range []string{"name", "address", "protocol", "slots", "backendServers"} {
			broken := modified(data, func(doc map[string]any) { delete(firstService(doc), field) })
			is.True(validate(t, s, broken) != nil)
			_, err := config.ParseDocument(broken)
			is.True(err != nil)
		}
		for field, value := range map[string]any{"weight": 0, "state": "gone", "packets": "x:1", "health": "ftp://127.0.0.1", "dataCentre": ""} {
			broken := modified(data, func(doc map[string]any) {
				firstService(doc)["backendServers"].([]any)[0].(map[string]any)[field] = value
			})
			is.True(validate(t, s, broken) != nil)
			_, err := config.ParseDocument(broken)
			is.True(err != nil)
		}
	}
}

func firstService(doc map[string]any) map[string]any {
	return doc["services"].([]any)[0].(map[string]any)
}

func modified(data []byte, change func(map[string]any)) []byte {
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

// FuzzSchema searches for a document that the validation accepts and the schema
// rejects.
func FuzzSchema(f *testing.F) {
	s := compileSchema(f)
	for _, data := range exampleDocuments(f) {
		f.Add(data)
	}
	f.Add([]byte(`{"format":1,"dataCentres":[{"name":"a"}],"services":[{"name":"s","address":"[::1]:1","protocol":"udp",` +
		`"idleLimit":"+.5h","slots":1,"backendServers":[{"name":"x","dataCentre":"a","packets":"127.0.0.1:1","weight":1,"health":"HTTP://127.0.0.1"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := config.ParseDocument(data); err != nil {
			return
		}
		if err := validate(t, s, data); err != nil {
			t.Fatal(err)
		}
	})
}
