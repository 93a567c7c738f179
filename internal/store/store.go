// Package store names what balsamfork needs of the platform's key-value service.
// Clients of it and a stand-in for tests are in their own packages.
package store

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// MaxValue is the largest value the service holds, in bytes.
const MaxValue = 1 << 20

// The classes of errors that a Store returns. Unknown means that a write may or
// may not have taken effect: the caller finds out by reading.
var (
	NotFound    = errs.Class("store: not found")
	Conflict    = errs.Class("store: conflict")
	Unknown     = errs.Class("store: outcome unknown")
	Unavailable = errs.Class("store: unavailable")
	TooLarge    = errs.Class("store: value too large")
)

// Revision numbers the writes of the service. That of a key is the last write to it;
// zero means that the key has no value.
type Revision uint64

// Value is what a key held at one revision.
type Value struct {
	Revision Revision
	Data     []byte
}

// Store is the platform's key-value service as the product uses it. All methods may
// be called from several goroutines and end early when the context does.
type Store interface {
	// Get returns the value of a key, or NotFound.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key is still at revision old, and returns
	// the new revision, or Conflict. After Unknown the write may have happened.
	CompareAndSwap(ctx context.Context, key string, old Revision, data []byte) (Revision, error)
	// Watch waits for a value newer than after and returns it. Now and then it looks
	// whether the value is older, in a store that lost data, and returns that.
	Watch(ctx context.Context, key string, after Revision) (Value, error)
}

// Service makes single calls of the key-value service. Each makes one attempt; errors
// are of the classes above.
type Service interface {
	Get(ctx context.Context, key string) (Value, error)
	CompareAndSwap(ctx context.Context, key string, old Revision, data []byte) (Revision, error)
	// Poll waits for some time for a write of a key after a revision. It returns its
	// value, or the zero value, and the revision up to which it has looked.
	Poll(ctx context.Context, key string, after Revision, wait time.Duration) (Value, Revision, error)
}
