// Package watch keeps an instance's catalogue recent. Few instances read the
// platform's store and pass on what they learn with its age; any instance whose
// knowledge grows older than its patience reads the store itself and goes on to
// do so regularly. Of two regular readers that hear of each other, the one with the
// higher address yields.
//
// Each reading asks for the store's revision by a linearizable read, so that a
// watch that misses changes, or stale data, is never taken for the present.
package watch
