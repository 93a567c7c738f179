// Package watch keeps an instance's catalogue up to date. A few instances read the
// platform's store and pass on what they read together with its age. An instance whose
// catalogue grows older than its takeover delay reads the store itself and continues
// to do so regularly. Of two regular readers that learn of each other, the one with
// the higher address stops.
//
// The regular reader, and a few standbys that it asks, also wait for backend servers that
// start again: such a server must not get its usual flows until the next read.
//
// Each read asks for the store's revision with a linearizable read, so that a watch
// that misses changes, or stale data, is never mistaken for the current state.
package watch

import "github.com/zeebo/errs"

// Refused is the class of errors for data that was read from the store and is older than
// the catalogue, which must not count as a confirmation of the catalogue.
var Refused = errs.Class("watch: refused")
