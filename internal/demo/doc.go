// Package demo runs a whole deployment in one process, on loopback: instances
// of the daemon, stand-ins for the platform, the backend servers and the
// callers, and the changes and failures that the product is meant for, under
// traffic. Every figure is counted at the callers and the backend servers.
package demo

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("demo")
