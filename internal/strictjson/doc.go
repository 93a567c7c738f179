// Package strictjson decodes hand-written JSON. It rejects unknown and duplicate
// fields, nulls and values of the wrong type, and reports all problems of a
// document at once, each with the path of its field.
package strictjson
