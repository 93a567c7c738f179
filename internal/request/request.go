// Package request names what the request path shares: the message of a caller,
// its result, and the limits on both. It does no I/O.
package request

import (
	"encoding/json"
	"time"
)

// Limits on a request and its answer.
const (
	MaxIDBytes     = 64
	MaxNameBytes   = 128
	MaxParamsBytes = 256 << 10
	MaxValueBytes  = 1 << 20
	MaxReasonBytes = 256
	// MaxFrameBytes bounds one JSON-RPC message, envelope included.
	MaxFrameBytes = MaxValueBytes + 8<<10
	// MaxTimeout bounds the time a caller may give a request.
	MaxTimeout = 30 * time.Second
	// MaxAhead is how far a caller's clock may be ahead of an instance's.
	MaxAhead = 2 * time.Second
)

// Key identifies one intention of a caller. Every copy of a request carries the
// same key; a new intention carries a new one.
type Key struct {
	// ID is chosen by the caller and must be unique among all callers.
	ID string `json:"id"`
	// Created is when the caller made the key, in milliseconds of Unix time.
	Created int64 `json:"created"`
	// Home is the data centre whose instances decide about the key. If it is
	// empty, the first instance derives it from ID.
	Home string `json:"home,omitempty"`
}

// Request is the params of the method "request.do".
type Request struct {
	Key     Key             `json:"key"`
	Service string          `json:"service"`
	Method  string          `json:"method"`
	Params  json.RawMessage `json:"params,omitempty"`
	// TimeoutMs is how long the caller waits, in milliseconds from the arrival.
	TimeoutMs int64 `json:"timeoutMs"`
	// Repeatable says that running the request twice does no harm.
	Repeatable bool `json:"repeatable"`
	// Deadline replaces TimeoutMs between instances, in nanoseconds of Unix time.
	Deadline int64 `json:"deadline,omitempty"`
}

// Status says what is known of a request.
type Status string

// The statuses of a Result. Refused means that no copy of the request has run or
// will run; the key is used up. For a request that may be repeated it means that
// of this copy alone. Unknown means that it may have run, or may still.
const (
	Answered Status = "answered"
	Refused  Status = "refused"
	Unknown  Status = "unknown"
)

// Reason says why a request was not answered.
type Reason string

// The reasons of a Result that is not Answered.
const (
	Invalid     Reason = "invalid"
	NoService   Reason = "no such service"
	NoServer    Reason = "no backend server"
	Overloaded  Reason = "overloaded"
	TooLate     Reason = "deadline passed"
	Stopping    Reason = "instance stopping"
	Expired     Reason = "key expired"
	Lost        Reason = "answer lost"
	Unreachable Reason = "instance unreachable"
	Oversized   Reason = "answer too large"
	Cancelled   Reason = "cancelled"
	Undecided   Reason = "key not decided"
)

// Fault is an error that the backend server answered with: the request was run.
type Fault struct {
	Code    int64           `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Result is the outcome of a request. Value or Fault is set if Status is
// Answered, Reason otherwise.
type Result struct {
	Status Status          `json:"status"`
	Reason Reason          `json:"reason,omitempty"`
	Detail string          `json:"detail,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Fault  *Fault          `json:"fault,omitempty"`
}

// Refuse returns a Refused result.
func Refuse(r Reason) Result { return Result{Status: Refused, Reason: r} }

// Unsure returns an Unknown result.
func Unsure(r Reason) Result { return Result{Status: Unknown, Reason: r} }

// Size returns the bytes that the result holds, without its fixed part.
func (r *Result) Size() int {
	n := len(r.Value) + len(r.Detail)
	if r.Fault != nil {
		n += len(r.Fault.Message) + len(r.Fault.Data)
	}
	return n
}
