package decisionlog

import (
	"context"
	"log/slog"
	"time"
)

// LinesPerSecond is the maximum number of lines about single decisions that a
// recorder writes per second, about 35 kB. It is three times the decision rate of
// an instance on a usual day.
const LinesPerSecond = 100

// Recorder logs decisions, at most LinesPerSecond. Further decisions are counted,
// and the count is logged with the first decision of a later second. It is not safe
// for concurrent use.
type Recorder struct {
	log     *slog.Logger
	second  int64
	written int
	omitted int
}

// NewRecorder returns a recorder that writes to the logger of one part of the
// instance.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// Admit reports whether a line may be written at the time now, in nanoseconds. It
// counts the line either way.
func (r *Recorder) Admit(now int64) bool {
	if second := now / int64(time.Second); second != r.second {
		r.reportOmitted()
		r.second, r.written = second, 0
	}
	if r.written >= LinesPerSecond {
		r.omitted++
		return false
	}
	r.written++
	return true
}

func (r *Recorder) reportOmitted() {
	if r.omitted > 0 {
		r.log.Info("Omitted decisions over the log rate limit.", "count", r.omitted)
	}
	r.omitted = 0
}

// Write logs a decision that Admit has accepted.
func (r *Recorder) Write(message string, attributes ...slog.Attr) {
	r.log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}
