package flow

import "balsamfork/internal/config"

// Condition is what the fleet knows of a backend server beyond the configuration.
type Condition uint8

// The conditions of a backend server.
const (
	// Healthy is the normal condition: nothing is announced.
	Healthy Condition = iota
	// Cold carries only its ramp.
	Cold
	// Down gets no new flow or request; established flows keep going there,
	// since the verdict may be wrong.
	Down
	// Recovering is healthy again, while flows placed elsewhere in the meantime
	// are still recorded.
	Recovering
)

// Announcement is one announced condition. A later Sequence for the same
// backend server replaces an earlier one.
type Announcement struct {
	Server    config.Number `json:"server"`
	Condition Condition     `json:"condition"`
	Sequence  uint64        `json:"sequence"`
	// Since is when the condition was announced, in nanoseconds of Unix time.
	Since int64 `json:"since"`
}

// EvidenceKind is what one answer, or its absence, shows of a backend server.
type EvidenceKind uint8

// The kinds of evidence that traffic gives.
const (
	Answered EvidenceKind = iota + 1
	Shed
	Slow
	Failed
	// TurnedCold is drawn from several answers: the server has begun a cold start
	// without a word.
	TurnedCold
)

// Evidence is one observation of a backend server made by traffic, at a time in
// nanoseconds of Unix time.
type Evidence struct {
	Server config.Number
	Kind   EvidenceKind
	At     int64
}

// String returns the name of the condition.
func (c Condition) String() string {
	switch c {
	case Healthy:
		return "healthy"
	case Cold:
		return "cold"
	case Down:
		return "down"
	case Recovering:
		return "recovering"
	}
	return "unknown"
}
