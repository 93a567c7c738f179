package flowpath

import (
	"time"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/suspicion"
)

// sampleInterval is the number of packets of which one is timed.
const sampleInterval = 16

// metrics holds the counters of the packet path. They are created in advance, so that
// counting takes no lock.
type metrics struct {
	actions          [Hold + 1][len(reasonNames)]tally.Counter
	openingsRepeated tally.Counter
	packets          tally.Counter
	copies           tally.Counter
	malformed        tally.Counter
	readErrors       tally.Counter
	writeErrors      tally.Counter
	holdsDropped     tally.Counter
	updatesDropped   tally.Counter
	unanswered       tally.Counter
	unacknowledged   tally.Counter
	stalled          tally.Counter
	refuted          tally.Counter
	suspicions       tally.Counter
	age              tally.Gauge
	handling         tally.Histogram
	load             loadMetrics
	seen             uint64
}

var actionNames = [...]string{"forward", "reset", "drop", "hold"}

// String returns the action's name for logs and metrics.
func (a Action) String() string { return actionNames[a] }

// handlingBuckets range from the usual microseconds of the packet path to a stall.
var handlingBuckets = tally.DurationBuckets{
	5 * time.Microsecond, 10 * time.Microsecond, 25 * time.Microsecond, 50 * time.Microsecond, 100 * time.Microsecond,
	250 * time.Microsecond, time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond,
}

func newMetrics(scope tally.Scope) metrics {
	load := newLoadMetrics(scope)
	scope = scope.SubScope("flows")
	m := metrics{
		load:             load,
		packets:          scope.Counter("packets"),
		openingsRepeated: scope.Counter("openings_repeated"),
		copies:           scope.Counter("opening_copies"),
		malformed:        scope.Counter("packets_malformed"),
		readErrors:       scope.Counter("read_errors"),
		writeErrors:      scope.Counter("write_errors"),
		holdsDropped:     scope.Counter("holds_dropped"),
		updatesDropped:   scope.Counter("news_dropped"),
		unanswered:       scope.Counter("openings_unanswered"),
		unacknowledged:   scope.Counter("requests_unacknowledged"),
		stalled:          scope.Counter("requests_stalled"),
		refuted:          scope.Counter("suspicions_refuted"),
		suspicions:       scope.Counter("suspicions"),
		age:              scope.Gauge("catalogue_age_seconds"),
		handling:         scope.Histogram("handling_seconds", handlingBuckets),
	}
	for a := range m.actions {
		for r := range m.actions[a] {
			tags := map[string]string{"action": Action(a).String(), "reason": Reason(r).String()}
			m.actions[a][r] = scope.Tagged(tags).Counter("decisions")
		}
	}
	return m
}

// count records a decision.
func (m *metrics) count(p *Packet, v *Verdict, now, known int64) {
	m.packets.Inc(1)
	m.actions[v.Action][v.Reason].Inc(1)
	if p.Kind == Opening && p.Copy > 0 {
		m.copies.Inc(1)
	}
	if p.Kind == Opening {
		m.load.count(v)
	}
	m.seen++
	if m.sample() {
		m.age.Update(time.Duration(now - known).Seconds())
	}
}

// failureCounter returns the counter of a kind of missing response.
func (m *metrics) failureCounter(kind suspicion.Kind) tally.Counter {
	switch kind {
	case suspicion.NoData:
		return m.stalled
	case suspicion.NoAcknowledgement:
		return m.unacknowledged
	}
	return m.unanswered
}

// sample reports whether the last counted packet is to be measured.
func (m *metrics) sample() bool { return m.seen%sampleInterval == 0 }
