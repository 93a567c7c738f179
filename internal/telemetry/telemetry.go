// Package telemetry makes the logger and the metrics of one instance.
package telemetry

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counters are passed to the reporter.
const reportInterval = time.Second

// prefix begins the name of every metric.
const prefix = "balsamfork"

// partKey is the attribute that names the part a log line comes from.
const partKey = "part"

// sanitize keeps names to what Prometheus takes, and the values of tags as they
// are in the configuration.
var sanitize = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune("-._/:")},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// NewLogger returns a logger that writes to w as text, or as JSON.
func NewLogger(w io.Writer, level slog.Level, asJSON bool) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// Part returns the logger of one part: each of its lines carries the part's name.
func Part(log *slog.Logger, name string) *slog.Logger {
	return log.With(slog.String(partKey, name))
}

// Metrics is the root scope of an instance and the handler that shows it to
// Prometheus.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with a registry of their own, so that several
// instances can run in one process.
func NewMetrics(instance string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Tags:                   map[string]string{"instance": instance},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitize,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports what was counted last and ends the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
