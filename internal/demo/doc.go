// Package demo runs a whole deployment in one process, on loopback: instances of
// the daemon and a simulated platform, backend servers and callers. Under traffic,
// it makes the configuration changes and injects the failures that the load
// balancer is designed for. Every figure is counted at the callers and the backend
// servers.
package demo

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("demo")
