// Package table derives from a configuration alone which backend server a flow
// belongs to: a keyed hash of the flow gives a bucket, and each set of backend
// servers gives a balanced assignment of buckets. It does no I/O.
package table
