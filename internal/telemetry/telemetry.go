// Package telemetry creates the logger and the metrics of one instance.
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

// reportInterval is the interval at which counters are passed to the reporter.
const reportInterval = time.Second

// metricPrefix precedes every metric name.
const metricPrefix = "balsamfork"

// partKey is the key of the log attribute that names the part of the process that
// logged a line.
const partKey = "part"

// sanitizeOptions replaces characters that Prometheus does not allow in metric names
// and tag keys. In tag values it also keeps the punctuation of the configuration's
// names and addresses.
var sanitizeOptions = tally.SanitizeOptions{
	NameCharacters:       tallyprom.DefaultSanitizerOpts.NameCharacters,
	KeyCharacters:        tallyprom.DefaultSanitizerOpts.KeyCharacters,
	ValueCharacters:      tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: []rune("-._/:")},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// NewLogger returns a logger that writes to w, as text or as JSON.
func NewLogger(w io.Writer, level slog.Level, asJSON bool) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}

// WithPart returns a logger that adds the part's name to each line.
func WithPart(log *slog.Logger, name string) *slog.Logger {
	return log.With(slog.String(partKey, name))
}

// Metrics is the root scope of an instance and the HTTP handler that exposes it to
// Prometheus.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics with a separate registry, so that several instances can
// run in one process.
func NewMetrics(instance string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Tags:                   map[string]string{"instance": instance},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &sanitizeOptions,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the latest values and stops the reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
