// Package store defines the interfaces of the platform's key-value service that
// balsamfork uses. Its clients and a test double are in their own packages.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// MaxValue is the maximum size of a value in the service, in bytes.
const MaxValue = 1 << 20

// The classes of errors that a Store or a Service returns. OutcomeUnknown means that a
// write may or may not have taken effect: the caller has to read the key to find out.
var (
	NotFound       = errs.Class("store: not found")
	Conflict       = errs.Class("store: conflict")
	OutcomeUnknown = errs.Class("store: outcome unknown")
	Unavailable    = errs.Class("store: unavailable")
	TooLarge       = errs.Class("store: value too large")
)

// Revision numbers the writes to the service. The revision of a key is that of the last
// write to it; zero means that the key has no value.
type Revision uint64

// Position is a revision within an epoch of the service. A service that has been restored
// from a backup begins a new epoch, in which revisions after the backup are given out
// again.
type Position struct {
	Epoch    uint64
	Revision Revision
}

// Value is the value of a key and the position at which it was written.
type Value struct {
	Position
	Data []byte
}

// Store is the platform's key-value service as balsamfork uses it. Its methods are safe
// for concurrent use and return early when the context ends.
type Store interface {
	// Get returns the value of a key, or NotFound.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key is still at revision old, and returns
	// the new revision, or Conflict. After OutcomeUnknown the write may have taken effect.
	CompareAndSwap(ctx context.Context, key string, old Revision, data []byte) (Revision, error)
	// Watch waits for a value newer than after and returns it. From time to time it also
	// reads the key: if the store has lost data, so that the value is older than after or
	// of another epoch, it returns that value.
	Watch(ctx context.Context, key string, after Position) (Value, error)
}

// Service makes single calls to the key-value service, one attempt each. Its errors are
// of the classes above.
type Service interface {
	Get(ctx context.Context, key string) (Value, error)
	CompareAndSwap(ctx context.Context, key string, old Revision, data []byte) (Revision, error)
	// Poll waits up to the given time for a write to a key after a revision. It returns
	// the value found, or the zero value, and the position up to which it has checked.
	Poll(ctx context.Context, key string, after Revision, wait time.Duration) (Value, Position, error)
}
