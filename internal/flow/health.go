package flow

import "balsamfork/internal/config"

// Condition is the health of a backend server as announced in the fleet, which is not
// part of the configuration.
type Condition uint8

// The conditions of a backend server.
const (
	// Healthy is the normal condition, in which nothing is announced.
	Healthy Condition = iota
	// Cold is a server in its cold start, which gets no more load than its ramp allows.
	Cold
	// Down is a server that gets no new flows or requests. Established flows are still
	// forwarded to it, since the detection may be wrong.
	Down
	// Recovering is a server that is healthy again while records remain of flows that
	// were placed elsewhere in the meantime.
	Recovering
)

// Announcement is the announced condition of a backend server. It replaces those of
// the same server with a lower Sequence.
type Announcement struct {
	Server    config.Number `json:"server"`
	Condition Condition     `json:"condition"`
	Sequence  uint64        `json:"sequence"`
	// Since is when the condition was announced, in nanoseconds of Unix time.
	Since int64 `json:"since"`
}

// EvidenceKind states what an answer, or the lack of one, shows about a backend server.
type EvidenceKind uint8

// The kinds of evidence that are gained from traffic.
const (
	Answered EvidenceKind = iota + 1
	// Shed is a server's refusal to run a request.
	Shed
	Slow
	Failed
	// TurnedCold is inferred from several answers: the server has begun a cold start
	// without announcing it.
	TurnedCold
)

// Evidence is one observation of a backend server gained from traffic. At is in
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
