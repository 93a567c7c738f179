package requestpath

import (
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/admission"
	"balsamfork/internal/flow"
	"balsamfork/internal/keyowner"
	"balsamfork/internal/request"
)

// metrics are the metrics of the request path.
type metrics struct {
	scope tally.Scope
	// answersDropped counts responses of backend servers that match no pending
	// request or name another attempt; brokenConnection counts failed connections
	// to backend servers.
	answersDropped, brokenConnection tally.Counter
	invalid, clockStepped            tally.Counter
	evidenceDropped                  tally.Counter
	latency                          tally.Timer
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("requests")
	return metrics{
		scope:            s,
		answersDropped:   s.Counter("answers_dropped"),
		brokenConnection: s.Counter("server_connections_broken"),
		invalid:          s.Counter("invalid"),
		clockStepped:     s.Counter("clock_stepped"),
		evidenceDropped:  s.Counter("evidence_dropped"),
		latency:          s.Timer("latency"),
	}
}

func (m *metrics) countResult(r request.Result) {
	m.scope.Tagged(map[string]string{"status": string(r.Status), "reason": string(r.Reason)}).Counter("results").Inc(1)
}

func (m *metrics) countEvidence(k flow.EvidenceKind) {
	names := map[flow.EvidenceKind]string{flow.Answered: "answered", flow.Shed: "shed", flow.Slow: "slow", flow.Failed: "failed", flow.TurnedCold: "turned_cold"}
	m.scope.Tagged(map[string]string{"kind": names[k]}).Counter("evidence").Inc(1)
}

// setGauges sets the gauges of the work in progress and of the owner's totals.
func (m *metrics) setGauges(t admission.Totals, pending, claims int, c keyowner.Counts) {
	for name, v := range map[string]float64{
		"running":        float64(t.Running),
		"waiting":        float64(t.Waiting),
		"slots":          t.Slots,
		"servers_held":   float64(t.Held),
		"servers_wanted": float64(t.Wanted),
		"servers_cold":   float64(t.Ramping),
		"pending":        float64(pending),
		"claims_held":    float64(claims),
		"first_attempts": float64(c.Attempts - c.Retries),
		"retries":        float64(c.Retries),
		"copies_joined":  float64(c.Joined),
		"late_outcomes":  float64(c.Late),
	} {
		m.scope.Gauge(name).Update(v)
	}
}
