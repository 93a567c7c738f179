package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Invalid is the class of errors for an invalid value or stored form.
var Invalid = errs.Class("config: invalid")

// Duration is a time.Duration that is encoded as a string such as "90s" or "12h".
type Duration time.Duration

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText formats the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("must be a duration such as 90s or 12h, is %q", text)
	}
	*d = Duration(span)
	return nil
}

var protocolNames = map[Protocol]string{TCP: "tcp", UDP: "udp"}

// String returns "tcp" or "udp".
func (p Protocol) String() string { return nameOf(protocolNames, p, "protocol") }

// MarshalText returns "tcp" or "udp", or Invalid.
func (p Protocol) MarshalText() ([]byte, error) { return marshalName(protocolNames, p) }

// UnmarshalText parses "tcp" or "udp".
func (p *Protocol) UnmarshalText(text []byte) error {
	return unmarshalName(protocolNames, p, text, TCP, UDP)
}

var stateNames = map[ServerState]string{Active: "active", Draining: "draining", Gone: "gone"}

// String returns "active", "draining" or "gone".
func (s ServerState) String() string { return nameOf(stateNames, s, "state") }

// MarshalText returns the name of the state, or Invalid.
func (s ServerState) MarshalText() ([]byte, error) { return marshalName(stateNames, s) }

// UnmarshalText parses "active" or "draining"; Gone cannot be declared.
func (s *ServerState) UnmarshalText(text []byte) error {
	return unmarshalName(stateNames, s, text, Active, Draining)
}

// nameOf returns the name of a value, or its kind and number if it is unknown.
func nameOf[T ~uint8](names map[T]string, v T, kind string) string {
	if name, known := names[v]; known {
		return name
	}
	return fmt.Sprintf("%s %d", kind, uint8(v))
}

func marshalName[T comparable](names map[T]string, v T) ([]byte, error) {
	name, known := names[v]
	if !known {
		return nil, Invalid.New("%v has no name", v)
	}
	return []byte(name), nil
}

// unmarshalName sets v to the allowed value that has text as its name.
func unmarshalName[T comparable](names map[T]string, v *T, text []byte, allowed ...T) error {
	var allowedNames []string
	for _, value := range allowed {
		if names[value] == string(text) {
			*v = value
			return nil
		}
		allowedNames = append(allowedNames, names[value])
	}
	return fmt.Errorf("must be %s, is %q", strings.Join(allowedNames, " or "), text)
}
