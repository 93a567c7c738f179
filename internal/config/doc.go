// Package config defines the configuration: the document that an operator
// declares, the validated types that other packages use, its stored form, and the
// rules that derive each version from the one before. It does no I/O.
package config
