// Package schema generates the JSON schema of the document that an operator
// declares, from the types that decode it.
package schema

import (
	"encoding/json"
	"net/netip"
	"reflect"

	"github.com/invopop/jsonschema"
	"github.com/zeebo/errs"

	"balsamfork/internal/config"
)

// Error is the class of errors for a schema that cannot be generated.
var Error = errs.Class("schema")

// The forms of the fields that are written as strings.
const (
	durationForm = `^[-+]?(0|(([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|μs|ms|s|m|h))+)$`
	socketForm   = `^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$`
)

// Generate returns the schema as indented JSON with a final newline. What a
// schema cannot say, such as that no two services share an address, only the
// validation of the command-line tool finds.
func Generate() ([]byte, error) {
	r := jsonschema.Reflector{Mapper: text, Anonymous: true}
	s := r.Reflect(&config.Document{})
	s.Title = "balsamfork configuration"
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(data, '\n'), nil
}

// text returns the schemas of the types that are written as strings.
func text(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[netip.AddrPort]():
		return &jsonschema.Schema{Type: "string", Pattern: socketForm}
	case reflect.TypeFor[config.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationForm}
	case reflect.TypeFor[config.Protocol]():
		return &jsonschema.Schema{Type: "string", Enum: []any{"tcp", "udp"}}
	case reflect.TypeFor[config.ServerState]():
		return &jsonschema.Schema{Type: "string", Enum: []any{"active", "draining"}}
	}
	return nil
}
