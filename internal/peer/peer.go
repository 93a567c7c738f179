// Package peer names the control link between instances: JSON-RPC 2.0 over
// mutual TLS. Its implementation is in package link.
package peer

import (
	"context"
	"encoding/json"

	"github.com/zeebo/errs"

	"balsamfork/internal/fleet"
)

// Unreachable is the class of errors for an instance that could not be asked or
// did not answer; whether it ran the call is not known.
var Unreachable = errs.Class("peer: unreachable")

// Handler answers one method. An error reaches the caller as a JSON-RPC error.
type Handler func(ctx context.Context, from fleet.ID, params json.RawMessage) (any, error)

// Caller calls methods of other instances.
type Caller interface {
	// Call asks one instance and decodes its answer into result, which may be
	// nil. It returns Unreachable, or the error that the instance answered.
	Call(ctx context.Context, to fleet.ID, method string, params, result any) error
	// Notify sends without waiting for an answer. It returns Unreachable when the
	// message could not be sent.
	Notify(ctx context.Context, to fleet.ID, method string, params any) error
}

// Registry takes the handlers of methods. All are registered before the link
// starts.
type Registry interface {
	Handle(method string, h Handler)
}
