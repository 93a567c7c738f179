package decisionlog

import (
	"context"
	"log/slog"
	"time"
)

// LinesPerSecond bounds the lines about single decisions that a process writes in
// a second: some 35 kB. It is three times what an instance decides on a usual day.
const LinesPerSecond = 100

// Recorder writes lines about decisions, at most LinesPerSecond of them. Decisions
// beyond are counted and the count is logged in the next second. It belongs to one
// goroutine.
type Recorder struct {
	log     *slog.Logger
	second  int64
	written int
	omitted int
}

// NewRecorder returns a recorder for one part of the instance.
func NewRecorder(log *slog.Logger) *Recorder { return &Recorder{log: log} }

// Admit reports whether a line may be written at a time in nanoseconds.
func (r *Recorder) Admit(now int64) bool {
	if second := now / int64(time.Second); second != r.second {
		r.report()
		r.second, r.written = second, 0
	}
	if r.written >= LinesPerSecond {
		r.omitted++
		return false
	}
	r.written++
	return true
}

func (r *Recorder) report() {
	if r.omitted > 0 {
		r.log.Info("Decisions were not logged one by one.", "count", r.omitted)
	}
	r.omitted = 0
}

// Write writes a line that Admit has let pass.
func (r *Recorder) Write(message string, attributes ...slog.Attr) {
	r.log.LogAttrs(context.Background(), slog.LevelInfo, message, attributes...)
}
