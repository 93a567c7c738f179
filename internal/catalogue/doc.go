// Package catalogue holds an instance's view of the platform: backend servers, the
// configuration and the evacuated data centres, as one immutable snapshot of a store
// revision. A Mirror applies records that were read from the store or forwarded by
// other instances, and never replaces a record by an older one. The package does no
// I/O and reads no clock. Times are in nanoseconds of the instance's monotonic clock.
package catalogue
