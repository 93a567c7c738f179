// Package pause detects that the process was paused: stopped by a signal, or not
// scheduled for a while. What waited in its sockets meanwhile is older than it seems.
package pause

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// interval is the time between two marks that the process is running.
	interval = 100 * time.Millisecond
	// threshold is the time without a mark that counts as a pause. A slow machine that
	// is busy with other work is late by less.
	threshold = 500 * time.Millisecond
)

// Detector detects pauses of the process. It is safe for concurrent use.
type Detector struct {
	clock func() int64
	// marked is when the process was last known to be running, 0 before Run, and resumed
	// the end of the last pause, 0 for none; both in nanoseconds.
	marked, resumed atomic.Int64
}

// New returns a Detector. The clock returns the monotonic time in nanoseconds, which is
// never 0.
func New(clock func() int64) *Detector { return &Detector{clock: clock} }

// Run marks that the process is running until the context ends. The time before Run, in
// which the process starts, counts as no pause.
func (d *Detector) Run(ctx context.Context) {
	d.marked.Store(d.clock())
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		d.LastResume(d.clock())
		d.marked.Store(d.clock())
	}
}

// LastResume returns the end of the last pause, or 0 if there was none; now is the current
// time of the clock. After a pause that is the time of the first call, also before Run has
// marked the process as running. What is read from a socket that has not been empty since
// then may have waited for the length of the pause.
func (d *Detector) LastResume(now int64) int64 {
	marked, resumed := d.marked.Load(), d.resumed.Load()
	if marked == 0 || now-max(marked, resumed) <= int64(threshold) {
		return resumed
	}
	d.resumed.Store(now)
	return now
}
