// Package strictjson decodes JSON into a Go type and reports everything that
// does not fit the type, each with the path of its field: unknown fields,
// missing ones and wrong types. The rules come from a JSON schema that is
// derived from the type.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/invopop/jsonschema"
	validator "github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Problem is one fault of a document.
type Problem struct {
	// Path names the field, such as services[0].slots. It is empty for the
	// document as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Problems is every fault of a document. It is an
// error if it is not empty.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the path and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Add appends one problem.
func (p *Problems) Add(path, format string, args ...any) {
	*p = append(*p, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Err returns p as an error, or nil if it is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Schema returns the JSON schema of the type of v.
func Schema(v any) *jsonschema.Schema {
	reflector := jsonschema.Reflector{Anonymous: true, DoNotReference: true, ExpandedStruct: true}
	return reflector.Reflect(v)
}

// Decode decodes data into v, a pointer to a struct. It returns every problem
// found and leaves v unchanged if there is any.
func Decode(data []byte, v any) Problems {
	var problems Problems
	document, err := validator.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		problems.Add("", "not valid JSON: %v", err)
		return problems
	}
	problems = check(document, v)
	if len(problems) > 0 {
		return problems
	}
	if err := json.Unmarshal(data, v); err != nil {
		problems.Add("", "%v", err)
	}
	return problems
}

func check(document, v any) Problems {
	schema, err := compile(v)
	if err != nil {
		panic(fmt.Sprintf("strictjson: schema of %T: %v", v, err))
	}
	err = schema.Validate(document)
	if err == nil {
		return nil
	}
	var problems Problems
	collect(err.(*validator.ValidationError), &problems)
	slices.SortStableFunc(problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return problems
}

func compile(v any) (*validator.Schema, error) {
	text, err := json.Marshal(Schema(v))
	if err != nil {
		return nil, err
	}
	resource, err := validator.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	const name = "document.json"
	compiler := validator.NewCompiler()
	if err := compiler.AddResource(name, resource); err != nil {
		return nil, err
	}
	return compiler.Compile(name)
}

// collect appends the leaves of the tree of validation errors.
func collect(e *validator.ValidationError, problems *Problems) {
	for _, cause := range e.Causes {
		collect(cause, problems)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := Path(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			problems.Add(join(path, name), "unknown field")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			problems.Add(join(path, name), "missing")
		}
	default:
		problems.Add(path, "%s", e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))
	}
}

// Path writes the location of a value as a path: a.b[0].c.
func Path(location []string) string {
	path := ""
	for _, token := range location {
		if _, err := strconv.Atoi(token); err == nil {
			path += "[" + token + "]"
			continue
		}
		path = join(path, token)
	}
	return path
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
