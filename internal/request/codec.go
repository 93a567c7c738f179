package request

import (
	"bytes"
	"encoding/json"
	"io"
	"time"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

// InvalidError is the class of errors for an invalid message. The text names the
// field.
var InvalidError = errs.Class("request: invalid")

// DecodeRequest decodes and validates the params of "request.do". It returns
// InvalidError, naming the field.
func DecodeRequest(raw []byte) (Request, error) {
	var r Request
	if len(raw) > MaxFrameBytes {
		return r, InvalidError.New("message: %d bytes, at most %d", len(raw), MaxFrameBytes)
	}
	if err := decodeStrict(raw, &r); err != nil {
		return r, err
	}
	return r, r.Validate()
}

// DecodeResult decodes and validates a result. It returns InvalidError, naming
// the field.
func DecodeResult(raw []byte) (Result, error) {
	var r Result
	if len(raw) > MaxFrameBytes {
		return r, InvalidError.New("message: %d bytes, at most %d", len(raw), MaxFrameBytes)
	}
	if err := decodeStrict(raw, &r); err != nil {
		return r, err
	}
	return r, r.Validate()
}

// Validate checks every field against its limits. It returns InvalidError.
func (r *Request) Validate() error {
	if err := r.Key.Validate(); err != nil {
		return err
	}
	if err := checkName("service", r.Service, MaxNameBytes, true); err != nil {
		return err
	}
	if err := checkName("method", r.Method, MaxNameBytes, true); err != nil {
		return err
	}
	if len(r.Params) > MaxParamsBytes {
		return InvalidError.New("params: %d bytes, at most %d", len(r.Params), MaxParamsBytes)
	}
	if r.TimeoutMs < 0 || r.TimeoutMs > MaxTimeout.Milliseconds() {
		return InvalidError.New("timeoutMs: %d, must be 1 to %d", r.TimeoutMs, MaxTimeout.Milliseconds())
	}
	if (r.TimeoutMs == 0) == (r.Deadline <= 0) {
		return InvalidError.New("timeoutMs: must be given, and deadline not")
	}
	return nil
}

// Validate checks the key. It returns InvalidError.
func (k *Key) Validate() error {
	if err := checkName("key.id", k.ID, MaxIDBytes, true); err != nil {
		return err
	}
	if k.Created <= 0 || k.Created > maxCreatedMs {
		return InvalidError.New("key.created: %d is not milliseconds of Unix time", k.Created)
	}
	return checkName("key.home", k.Home, MaxNameBytes, false)
}

// maxCreatedMs bounds Key.Created, in milliseconds of Unix time, so that its value in
// nanoseconds fits an int64.
const maxCreatedMs = int64(1) << 62 / int64(time.Millisecond)

// CreatedAt returns when the key was created, in nanoseconds of Unix time.
func (k *Key) CreatedAt() int64 { return k.Created * int64(time.Millisecond) }

// Validate checks that exactly the fields required by the status are set, and that
// they are within the limits. It returns InvalidError.
func (r *Result) Validate() error {
	answered := r.Status == Answered
	if !answered && r.Status != Refused && r.Status != Unknown {
		return InvalidError.New("status: %.20q", r.Status)
	}
	if answered != (r.Value != nil || r.Fault != nil) || r.Value != nil && r.Fault != nil {
		return InvalidError.New("value: must be given for an answer, or fault, and for nothing else")
	}
	if answered != (r.Reason == "") {
		return InvalidError.New("reason: must be given unless answered")
	}
	if len(r.Reason) > MaxReasonBytes {
		return InvalidError.New("reason: %d bytes, at most %d", len(r.Reason), MaxReasonBytes)
	}
	if r.Size() > MaxValueBytes {
		return InvalidError.New("value: %d bytes, at most %d", r.Size(), MaxValueBytes)
	}
	return nil
}

func checkName(field, s string, maxBytes int, required bool) error {
	if required && s == "" {
		return InvalidError.New("%s: missing", field)
	}
	if len(s) > maxBytes {
		return InvalidError.New("%s: %d bytes, at most %d", field, len(s), maxBytes)
	}
	if !utf8.ValidString(s) {
		return InvalidError.New("%s: not UTF-8", field)
	}
	return nil
}

func decodeStrict(raw []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return InvalidError.Wrap(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return InvalidError.New("message: data after its end")
	}
	return nil
}
