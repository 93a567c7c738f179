// Package peer defines the interfaces of the control link between instances:
// JSON-RPC 2.0 over mutual TLS. Package link implements them.
package peer

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"balsamfork/internal/fleet"
)

// Unreachable is the class of errors for a call that could not be sent or got no
// response. The instance may have executed it.
var Unreachable = errs.Class("peer: unreachable")

// NotSent is the class of errors for a call that was certainly not sent, so that the
// instance has not executed it. Such an error is also of class Unreachable.
var NotSent = errs.Class("not sent")

// NewNotSent returns an error of the classes NotSent and Unreachable.
func NewNotSent(format string, args ...any) error {
	return Unreachable.Wrap(NotSent.New(format, args...))
}

// Handler handles the calls of one method. Its error is returned to the caller as a
// JSON-RPC error.
type Handler func(ctx context.Context, from fleet.ID, params json.RawMessage) (any, error)

// Caller calls methods of other instances.
type Caller interface {
	// Call calls a method of an instance and decodes the response into result,
	// which may be nil. It returns Unreachable, also as NotSent, or the error in the
	// response.
	Call(ctx context.Context, to fleet.ID, method string, params, result any) error
	// Notify sends a notification, which has no response. It returns Unreachable, also
	// as NotSent, if the message could not be sent.
	Notify(ctx context.Context, to fleet.ID, method string, params any) error
}

// Registry registers the handlers of methods. All handlers must be registered before
// the link starts.
type Registry interface {
	Handle(method string, h Handler)
}
