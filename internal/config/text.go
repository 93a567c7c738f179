package config

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Invalid is the class of errors for a value that a configuration cannot hold.
var Invalid = errs.Class("config: invalid")

// Duration is a time span, written as a string such as "90s" or "12h".
type Duration time.Duration

// String returns the span as time.Duration writes it.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText returns the span as time.Duration writes it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a span as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("must be a duration such as 90s or 12h, is %q", text)
	}
	*d = Duration(span)
	return nil
}

// String returns "tcp" or "udp".
func (p Protocol) String() string {
	switch p {
	case TCP:
		return "tcp"
	case UDP:
		return "udp"
	}
	return fmt.Sprintf("protocol %d", uint8(p))
}

// MarshalText returns "tcp" or "udp", or Invalid.
func (p Protocol) MarshalText() ([]byte, error) {
	if p != TCP && p != UDP {
		return nil, Invalid.New("%v has no name", p)
	}
	return []byte(p.String()), nil
}

// UnmarshalText reads "tcp" or "udp".
func (p *Protocol) UnmarshalText(text []byte) error {
	switch string(text) {
	case "tcp":
		*p = TCP
	case "udp":
		*p = UDP
	default:
		return fmt.Errorf("must be tcp or udp, is %q", text)
	}
	return nil
}

// String returns "active", "draining" or "gone".
func (s ServerState) String() string {
	switch s {
	case Active:
		return "active"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// MarshalText returns the name of the state, or Invalid.
func (s ServerState) MarshalText() ([]byte, error) {
	if s < Active || s > Gone {
		return nil, Invalid.New("%v has no name", s)
	}
	return []byte(s.String()), nil
}

// UnmarshalText reads "active" or "draining"; Gone is never declared.
func (s *ServerState) UnmarshalText(text []byte) error {
	switch string(text) {
	case "active":
		*s = Active
	case "draining":
		*s = Draining
	default:
		return fmt.Errorf("must be active or draining, is %q", text)
	}
	return nil
}
