// Package placement decides where the packets of flows go. Packets of settled
// buckets follow from the configuration alone; those of unsettled buckets go to
// the bucket's owner, who records where it placed a flow. The package does no
// I/O, reads no clock and starts no goroutine; all times are nanoseconds of Unix
// time unless stated. The rules are in docs/decisions/flows.md.
package placement

import "time"

const (
	// MaxHops bounds how many instances relay a packet before the next one
	// decides on the spot.
	MaxHops = 14
	// maxSteered bounds how many instances steer a packet to the owner of their
	// own view. Two whose views differ would go on for ever; the next one searches.
	maxSteered = 3
	// actDelay is the age at which an announced condition is known everywhere.
	actDelay = time.Second
	// goneDelay bounds how long a backend server that is gone still gets packets
	// when some instance has not confirmed the version.
	goneDelay = 4 * time.Second
	// refreshSeconds is how long a record goes without a refresh, which is one
	// packet that goes through the second instance.
	refreshSeconds = 30
	// openingSeconds is how long an opening waits for its next packet: longer
	// than a backend server repeats its answer to it.
	openingSeconds = 75
	// closedSeconds is how long a closed flow is remembered after its last
	// refresh.
	closedSeconds = 120
	// settledSeconds is how long after a change records of settled buckets are
	// still kept.
	settledSeconds = 60
)
