// Package config holds the configuration: the document that an operator
// declares, the validated types that everything else uses, and the pure rules
// by which one accepted version follows another. It does no I/O.
package config
