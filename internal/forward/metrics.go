package forward

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/flow"
)

// reasonCount is the number of values of flow.Reason.
const reasonCount = int(flow.Malformed) + 1

// Totals holds packet counts since the start.
type Totals struct {
	Received  uint64
	Forwarded uint64
	Relayed   uint64
	// RelayedBytes counts the bytes of relayed packets.
	RelayedBytes uint64
	// Dropped counts dropped packets by flow.Reason.
	Dropped [reasonCount]uint64
	// Held counts fragments that had to wait for their first fragment.
	Held uint64
	// Distrusted counts packets with steering from an address that is not an
	// instance's; they are handled like packets from the fabric.
	Distrusted uint64
	// Failed counts packets that could not be sent, and failed reads.
	Failed uint64
}

// counters holds the counts of one worker.
type counters struct {
	received, forwarded, relayed, relayedBytes atomic.Uint64
	held, distrusted, failed                   atomic.Uint64
	dropped                                    [reasonCount]atomic.Uint64
}

func (c *counters) addTo(t *Totals) {
	t.Received += c.received.Load()
	t.Forwarded += c.forwarded.Load()
	t.Relayed += c.relayed.Load()
	t.RelayedBytes += c.relayedBytes.Load()
	t.Held += c.held.Load()
	t.Distrusted += c.distrusted.Load()
	t.Failed += c.failed.Load()
	for i := range c.dropped {
		t.Dropped[i] += c.dropped[i].Load()
	}
}

// reporter adds the increase of the Totals since its last report to tally counters.
type reporter struct {
	last                                       Totals
	received, forwarded, relayed, relayedBytes tally.Counter
	held, distrusted, failed                   tally.Counter
	dropped                                    [reasonCount]tally.Counter
}

func newReporter(scope tally.Scope) *reporter {
	r := &reporter{
		received:     scope.Counter("packets_received"),
		forwarded:    scope.Counter("packets_forwarded"),
		relayed:      scope.Counter("packets_relayed"),
		relayedBytes: scope.Counter("packets_relayed_bytes"),
		held:         scope.Counter("fragments_held"),
		distrusted:   scope.Counter("packets_distrusted"),
		failed:       scope.Counter("packets_failed"),
	}
	for i := range r.dropped {
		tags := map[string]string{"reason": reasonName(flow.Reason(i))}
		r.dropped[i] = scope.Tagged(tags).Counter("packets_dropped")
	}
	return r
}

func (r *reporter) report(t Totals) {
	r.received.Inc(int64(t.Received - r.last.Received))
	r.forwarded.Inc(int64(t.Forwarded - r.last.Forwarded))
	r.relayed.Inc(int64(t.Relayed - r.last.Relayed))
	r.relayedBytes.Inc(int64(t.RelayedBytes - r.last.RelayedBytes))
	r.held.Inc(int64(t.Held - r.last.Held))
	r.distrusted.Inc(int64(t.Distrusted - r.last.Distrusted))
	r.failed.Inc(int64(t.Failed - r.last.Failed))
	for i := range r.dropped {
		r.dropped[i].Inc(int64(t.Dropped[i] - r.last.Dropped[i]))
	}
	r.last = t
}

func reasonName(r flow.Reason) string {
	switch r {
	case flow.NoService:
		return "no_service"
	case flow.NoServer:
		return "no_server"
	case flow.ServerGone:
		return "server_gone"
	case flow.TooManyHops:
		return "too_many_hops"
	case flow.Malformed:
		return "malformed"
	default:
		return "other"
	}
}
