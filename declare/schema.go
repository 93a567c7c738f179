package declare

import _ "embed"

//go:generate sh -c "go run ../internal/schema/generate > schema.json"

//go:embed schema.json
var schema []byte

// Schema returns the JSON Schema of the documents that Print writes, for tools that
// generate declarations in other languages.
func Schema() []byte {
	return append([]byte(nil), schema...)
}
