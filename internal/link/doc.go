// Package link is the control link between instances, and from operators to
// instances: JSON-RPC 2.0 over mutual TLS. Each message is preceded by its length
// as a varint. The peer's identity is the holder of its certificate; where
// settings allow plain text, it is what the peer says of itself.
package link

import (
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/keys"
)

// MaxFrame is the largest message that is read, in bytes: a value of the store
// in base64, and its envelope.
const MaxFrame = 2 << 20

const (
	dialTimeout      = time.Second
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	callTimeout      = 5 * time.Second
	idleTimeout      = 5 * time.Minute
	firstRedial      = 50 * time.Millisecond
	lastRedial       = 2 * time.Second
	maxInbound       = 2048
	maxConcurrent    = 256
)

// helloMethod opens a plain connection with the identity of the sender.
const helloMethod = "link.hello"

// Refused is the class of errors for a connection that was not accepted.
var Refused = errs.Class("link: refused")

// TooLarge is the class of errors for a message over MaxFrame.
var TooLarge = errs.Class("link: message too large")

// operatorPrefix marks an operator's name where a handler expects an instance.
const operatorPrefix = "operator/"

func senderName(id keys.Identity) string {
	if id.Role == keys.Operator {
		return operatorPrefix + id.Name
	}
	return id.Name
}
