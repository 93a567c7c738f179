package flowpath

import (
	"sync/atomic"
	"time"

	"balsamfork/internal/overload"
)

// ServiceSum is the load of a service in this data centre.
type ServiceSum struct {
	Service string
	// Load is the work in progress per slot at the servers' speeds.
	Load  float64
	Slots int
	// MeasuredAt is the time of the oldest report that counts, in nanoseconds.
	MeasuredAt int64
}

// sumsPointer publishes sums to other goroutines. A published slice is not changed.
type sumsPointer = atomic.Pointer[[]ServiceSum]

// RemoteSum is the load of a service in another data centre as of some time ago.
type RemoteSum struct {
	Service string
	Load    float64
	Slots   int
	Age     time.Duration
}

// RecordRemoteSums records the loads of services in another data centre, which arrived at
// a time.
func (d *Decider) RecordRemoteSums(dataCentre string, sums []RemoteSum, arrived int64) {
	if !d.load.on {
		return
	}
	for _, s := range sums {
		room := overload.Room{Load: s.Load, Slots: s.Slots, Known: true, Age: s.Age}
		d.load.remote.Record(dataCentre, s.Service, room, s.Age, arrived)
	}
}
