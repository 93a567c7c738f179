// Package flowd puts one instance of the flow daemon together: it provides its
// parts to an fx container, connects what one part learns to those that need it,
// and starts and stops them in order.
package flowd

import "github.com/zeebo/errs"

// Error is the class of errors of starting and stopping the daemon.
var Error = errs.Class("flowd")
