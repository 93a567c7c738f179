package exchange

import (
	"encoding/json"
	"net/netip"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/deflate"
	"balsamfork/internal/suspicion"
)

const (
	// packFrom is the size from which a message is compressed, in bytes: what fits a
	// packet of a link as it is gains nothing.
	packFrom = 1200
	// maxDatagram is the size up to which a digest carries the changes itself, in
	// bytes. Larger ones are pulled.
	maxDatagram = 8 << 10
	// maxUnpacked bounds a message after it is expanded, in bytes: all of 3,300
	// backend servers take some 0.9 MB.
	maxUnpacked = 2 << 20
)

// Peer is an instance as the others know it.
type Peer struct {
	Address    netip.Addr `json:"address"`
	DataCentre string     `json:"dataCentre"`
	// HeardMS is how long ago something was heard from it, in milliseconds.
	HeardMS int64 `json:"heardMs"`
}

// message is a datagram between instances.
type message struct {
	From Peer `json:"from"`
	// Revision is the sender's, and AgeMS how long ago it was the store's; absent
	// in a report.
	Revision uint64 `json:"revision,omitempty"`
	AgeMS    int64  `json:"ageMs,omitempty"`
	// Regular says that the sender reads the store regularly.
	Regular bool `json:"regular,omitempty"`
	// Delta holds the changes that led to Revision, if they are few.
	Delta *catalogue.Delta `json:"delta,omitempty"`
	// Relay asks the receiver to pass the digest on within its data centre.
	Relay bool `json:"relay,omitempty"`
	// Ping asks for an answer that is a Pong, to see whether a data centre is reached.
	Ping bool `json:"ping,omitempty"`
	Pong bool `json:"pong,omitempty"`
	// Hello asks for an answer: the sender knows few instances yet.
	Hello bool `json:"hello,omitempty"`
	// Peers is a sample of those that the sender knows.
	Peers []Peer `json:"peers,omitempty"`
	// Report is what the sender has seen of a backend server.
	Report *suspicion.Report `json:"report,omitempty"`
}

// encode returns a message as JSON, compressed if it is large.
func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) < packFrom {
		return data, nil
	}
	return deflate.Pack(data), nil
}

// decode undoes encode.
func decode(data []byte, into any) error {
	plain, err := deflate.Unpack(data, maxUnpacked)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(json.Unmarshal(plain, into))
}

// methodSince asks for the changes after a revision.
const methodSince = "catalogue.since"

// sinceParams are the parameters of methodSince.
type sinceParams struct {
	Revision uint64 `json:"revision"`
}

// sinceResult is the answer to methodSince. Delta is an encoded catalogue.Delta.
type sinceResult struct {
	Delta []byte `json:"delta"`
	AgeMS int64  `json:"ageMs"`
}
