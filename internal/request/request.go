// Package request defines the types that the request path shares: the request of a
// caller, its result, and the limits on both. It does no I/O.
package request

import (
	"encoding/json"
	"time"
)

// Limits on a request and its result.
const (
	MaxIDBytes     = 64
	MaxNameBytes   = 128
	MaxParamsBytes = 256 << 10
	MaxValueBytes  = 1 << 20
	MaxReasonBytes = 256
	// MaxFrameBytes bounds one JSON-RPC message including its envelope.
	MaxFrameBytes = MaxValueBytes + 8<<10
	// MaxTimeout bounds the timeout of a request.
	MaxTimeout = 30 * time.Second
	// MaxClockAhead is how far a caller's clock may be ahead of an instance's.
	MaxClockAhead = 2 * time.Second
)

// Key is the idempotency key of one operation of a caller. Every copy of its request
// carries the same key; a new operation carries a new one.
type Key struct {
	// ID is chosen by the caller and must be unique among all callers.
	ID string `json:"id"`
	// Created is when the caller created the key, in milliseconds of Unix time.
	Created int64 `json:"created"`
	// Home is the data centre whose instances decide which copy of the request runs.
	// It may be empty only if the request is Repeatable; the instance that receives
	// the request from the caller then sets it to its own data centre.
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
	// Repeatable marks an idempotent request, which may be run more than once.
	Repeatable bool `json:"repeatable"`
	// Deadline is set instead of TimeoutMs between instances, in nanoseconds of Unix
	// time.
	Deadline int64 `json:"deadline,omitempty"`
}

// Status is what is known about the outcome of a request.
type Status string

// The statuses of a Result. Refused means that no copy of the request has run or
// will run; its key cannot be used again. For a Repeatable request Refused applies
// to this copy only. Unknown means that the request may have run or may still run.
const (
	Answered Status = "answered"
	Refused  Status = "refused"
	Unknown  Status = "unknown"
)

// Reason is why a request was not answered.
type Reason string

// The reasons of a Result that is not Answered.
const (
	Invalid        Reason = "invalid"
	NoService      Reason = "no such service"
	NoServer       Reason = "no backend server"
	Overloaded     Reason = "overloaded"
	DeadlinePassed Reason = "deadline passed"
	Stopping       Reason = "instance stopping"
	Expired        Reason = "key expired"
	AnswerLost     Reason = "answer lost"
	Unreachable    Reason = "instance unreachable"
	Oversized      Reason = "answer too large"
	Cancelled      Reason = "cancelled"
	KeyUndecided   Reason = "key not decided"
)

// Fault is an error response of the backend server. The request has run.
type Fault struct {
	Code    int64           `json:"code"`
	Message string          `json:"message"`
	Data    json.RawMessage `json:"data,omitempty"`
}

// Result is the outcome of a request. Either Value or Fault is set if Status is
// Answered; otherwise Reason is set.
type Result struct {
	Status Status          `json:"status"`
	Reason Reason          `json:"reason,omitempty"`
	Detail string          `json:"detail,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Fault  *Fault          `json:"fault,omitempty"`
}

// RefusedResult returns a Refused result.
func RefusedResult(r Reason) Result { return Result{Status: Refused, Reason: r} }

// UnknownResult returns an Unknown result.
func UnknownResult(r Reason) Result { return Result{Status: Unknown, Reason: r} }

// Size returns the number of bytes in the variable-length fields of the result,
// Reason excluded.
func (r *Result) Size() int {
	n := len(r.Value) + len(r.Detail)
	if r.Fault != nil {
		n += len(r.Fault.Message) + len(r.Fault.Data)
	}
	return n
}
