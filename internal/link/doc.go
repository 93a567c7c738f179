// Package link implements the control connections between instances and from
// operators to instances: JSON-RPC 2.0 over mutual TLS. Each message is preceded by
// its length as a varint. The identity of a peer is taken from its certificate; if
// the settings allow plain text, the peer states its identity without proof.
package link

import (
	"time"

	"github.com/zeebo/errs"

	"balsamfork/internal/keys"
)

// MaxFrame is the maximum size of a received message, in bytes. It allows for a
// value of the store in base64 and its envelope.
const MaxFrame = 2 << 20

const (
	dialTimeout           = time.Second
	handshakeTimeout      = 2 * time.Second
	writeTimeout          = 2 * time.Second
	callTimeout           = 5 * time.Second
	idleTimeout           = 5 * time.Minute
	initialRedialInterval = 50 * time.Millisecond
	maxRedialInterval     = 2 * time.Second
	maxInboundConns       = 2048
	maxConcurrentRequests = 256
)

// helloMethod is the notification that a client sends first on a plain-text
// connection, with its identity.
const helloMethod = "link.hello"

// Refused is the class of errors for a connection that was refused or could not be
// opened, and for keys that belong to another instance.
var Refused = errs.Class("link: refused")

// TooLarge is the class of errors for a received message larger than MaxFrame.
var TooLarge = errs.Class("link: message too large")

// operatorPrefix precedes the name of an operator that is passed to a handler in
// place of an instance ID.
const operatorPrefix = "operator/"

func senderName(id keys.Identity) string {
	if id.Role == keys.Operator {
		return operatorPrefix + id.Name
	}
	return id.Name
}
