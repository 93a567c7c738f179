// Package table maps flows to backend servers as a function of the configuration
// alone: a keyed hash of the flow selects a bucket, and each set of backend servers
// yields a balanced assignment of the buckets. The package does no I/O.
package table
