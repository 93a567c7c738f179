// Package strictjson decodes JSON that people write. It refuses unknown and
// repeated fields, nulls and values of the wrong type, and reports every
// problem of a document at once, each with the path of its field.
package strictjson
