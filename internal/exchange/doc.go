// Package exchange carries messages between instances: digests of the catalogue
// with its revision and age, and reports of backend servers that did not answer, in
// datagrams; and the changes that an instance lacks, by JSON-RPC 2.0 over TCP.
// Nothing is agreed there: who hears nothing reads the platform's store itself.
package exchange

import "github.com/zeebo/errs"

// Error is the class of errors of messages between instances.
var Error = errs.Class("exchange")
