// Package exchange carries messages between instances. Datagrams carry digests of the
// catalogue with its revision and age, reports of backend servers that did not respond,
// and load reports within a data centre, whose contents the exchange does not know;
// JSON-RPC 2.0 over TCP carries the changes that an instance lacks. The
// exchange involves no consensus: an instance that receives no messages reads the
// platform's store itself.
package exchange

import "github.com/zeebo/errs"

// Error is the class of errors of messages between instances.
var Error = errs.Class("exchange")
