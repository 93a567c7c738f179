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

// Revision numbers the writes of one key, from 1. Zero means that the key has
// no value.
type Revision uint64

// Value is what a key held at one revision.
type Value struct {
	Revision Revision `json:"revision"`
	Data     []byte   `json:"data"`
}

// Lease is the right of one holder to act, until Expires. Fence grows with each
// grant, so that a write can be refused from a holder that was paused.
type Lease struct {
	Holder  string    `json:"holder"`
	Fence   uint64    `json:"fence"`
	Expires time.Time `json:"expires"`
}

// Store is the platform's key-value service. All methods may be called from
// several goroutines and end early when the context does.
type Store interface {
	// Get returns the value of a key, or NotFound.
	Get(ctx context.Context, key string) (Value, error)
	// CompareAndSwap writes data if the key is still at revision old, and returns
	// the new revision, or Conflict. After Unknown the write may have happened.
	CompareAndSwap(ctx context.Context, key string, old Revision, data []byte) (Revision, error)
	// Watch waits for a value newer than after and returns it. Now and then it looks
	// whether the value is older, in a store that lost data, and returns that.
	Watch(ctx context.Context, key string, after Revision) (Value, error)
	// Lease takes or renews a lease for holder, or returns Conflict while another
	// holds it.
	Lease(ctx context.Context, key, holder string, ttl time.Duration) (Lease, error)
}
