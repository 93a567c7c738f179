package requestpath

import (
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/flow"
	"balsamfork/internal/request"
)

// metrics are the counters of the request path.
type metrics struct {
	scope tally.Scope
	// dropped counts answers of backend servers that belong to no attempt, or to
	// another one; broken counts connections to them that failed.
	dropped, broken  tally.Counter
	invalid, stepped tally.Counter
	unreported       tally.Counter
	latency          tally.Timer
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("requests")
	return metrics{
		scope:      s,
		dropped:    s.Counter("answers_dropped"),
		broken:     s.Counter("server_connections_broken"),
		invalid:    s.Counter("invalid"),
		stepped:    s.Counter("clock_stepped"),
		unreported: s.Counter("evidence_dropped"),
		latency:    s.Timer("latency"),
	}
}

func (m *metrics) result(r request.Result) {
	m.scope.Tagged(map[string]string{"status": string(r.Status), "reason": string(r.Reason)}).Counter("results").Inc(1)
}

func (m *metrics) evidence(k flow.EvidenceKind) {
	names := map[flow.EvidenceKind]string{flow.Answered: "answered", flow.Shed: "shed", flow.Slow: "slow", flow.Failed: "failed"}
	m.scope.Tagged(map[string]string{"kind": names[k]}).Counter("evidence").Inc(1)
}
