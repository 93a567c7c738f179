// Package flowd assembles one instance of the flow daemon: it provides the components
// to an fx container, connects them, and starts and stops them in order.
package flowd

import "github.com/zeebo/errs"

// Error is the class of errors from building, starting and stopping the daemon.
var Error = errs.Class("flowd")
