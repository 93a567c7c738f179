// Package placement decides which backend server gets the packets of a flow.
// Packets of settled buckets are forwarded by the configuration alone; those of
// unsettled buckets go to the bucket's owner, which records where it placed
// each flow. The package does no I/O, reads no clock and starts no goroutine;
// all times are nanoseconds of Unix time unless stated. The rules are in
// docs/decisions/flows.md.
package placement

import "time"

const (
	// MaxHops is the number of relays after which an instance decides on a packet
	// without searching further for the authority.
	MaxHops = 14
	// maxSteered limits how many instances steer a packet to the owner in their own
	// view. Two instances with different views would relay it to each other without
	// end; the next one searches for the authority instead.
	maxSteered = 3
	// announcementDelay is the age at which an announced condition is taken as
	// known to every instance.
	announcementDelay = time.Second
	// goneGracePeriod limits how long a backend server that is gone still gets
	// packets while some instance has not confirmed the version.
	goneGracePeriod = 4 * time.Second
	// refreshSeconds is the age at which a record is refreshed by sending one
	// packet through the other replica of its bucket.
	refreshSeconds = 30
	// openingTimeoutSeconds is how long the record of an opening is kept without a
	// further packet. It is longer than the time for which a backend server
	// retransmits its answer to the opening.
	openingTimeoutSeconds = 75
	// closedRetentionSeconds is how long the record of a closed flow is kept after
	// its last refresh.
	closedRetentionSeconds = 120
	// settledRetentionSeconds is how long records of settled buckets are kept after
	// a change.
	settledRetentionSeconds = 60
)
