package declare

import _ "embed"

//go:generate sh -c "go run ../internal/schema/generate > schema.json"

//go:embed schema.json
var schema []byte

// Schema returns the JSON schema of the documents that Print writes, for those
// who declare in another language.
func Schema() []byte {
	return append([]byte(nil), schema...)
}
