// Package schema generates the JSON schema of the configuration document from the
// types that decode it.
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

// Patterns of fields that are encoded as strings.
const (
	durationPattern = `^[-+]?(0|(([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|μs|ms|s|m|h))+)$`
	addrPortPattern = `^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}$`
)

// Generate returns the schema as indented JSON with a final newline. Rules that a
// schema cannot express, such as that no two services share an address, are checked
// only by the validation of the command-line tool.
func Generate() ([]byte, error) {
	r := jsonschema.Reflector{Mapper: stringSchema, Anonymous: true}
	s := r.Reflect(&config.Document{})
	s.Title = "balsamfork configuration"
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(data, '\n'), nil
}

// stringSchema returns the schema of a type that is encoded as a string, or nil for
// any other type.
func stringSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[netip.AddrPort]():
		return &jsonschema.Schema{Type: "string", Pattern: addrPortPattern}
	case reflect.TypeFor[config.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: durationPattern}
	case reflect.TypeFor[config.Protocol]():
		return &jsonschema.Schema{Type: "string", Enum: []any{"tcp", "udp"}}
	case reflect.TypeFor[config.ServerState]():
		return &jsonschema.Schema{Type: "string", Enum: []any{"active", "draining"}}
	}
	return nil
}
