package exchange

import (
	"encoding/json"
	"net/netip"

	"balsamfork/internal/catalogue"
	"balsamfork/internal/deflate"
	"balsamfork/internal/suspicion"
)

const (
	// compressionThreshold is the size from which a message is compressed, in bytes:
	// compressing one that fits into a single network packet gains nothing.
	compressionThreshold = 1200
	// maxDigestSize is the size up to which a digest carries the changes itself, in
	// bytes. Larger changes are pulled.
	maxDigestSize = 8 << 10
	// maxDecompressed bounds a message after decompression, in bytes: all of 3,300
	// backend servers take about 0.9 MB.
	maxDecompressed = 2 << 20
)

// Peer identifies an instance to the others.
type Peer struct {
	Address    netip.Addr `json:"address"`
	DataCentre string     `json:"dataCentre"`
	// HeardMS is how long ago the instance was last heard from, in milliseconds.
	HeardMS int64 `json:"heardMs"`
}

// message is a datagram between instances.
type message struct {
	From Peer `json:"from"`
	// Epoch and Revision are the position of the sender's catalogue, and AgeMS the time
	// since it was last confirmed to be the store's, in milliseconds; all are absent in a
	// report.
	Epoch    uint64 `json:"epoch,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	AgeMS    int64  `json:"ageMs,omitempty"`
	// Regular says that the sender reads the store regularly.
	Regular bool `json:"regular,omitempty"`
	// Delta holds the changes that led to that position, if they are small enough.
	Delta *catalogue.Delta `json:"delta,omitempty"`
	// StandBy asks the receiver to wait for changes of the store beside the sender, a
	// regular reader. Awaiting confirms that.
	StandBy  bool `json:"standBy,omitempty"`
	Awaiting bool `json:"awaiting,omitempty"`
	// Relay asks the receiver to forward the digest or the report within its data centre.
	Relay bool `json:"relay,omitempty"`
	// Ping asks for an answer with Pong set, to check whether a data centre can be
	// reached.
	Ping bool `json:"ping,omitempty"`
	Pong bool `json:"pong,omitempty"`
	// Hello asks for peers: the sender knows few instances yet.
	Hello bool `json:"hello,omitempty"`
	// Peers is a sample of the peers that the sender knows.
	Peers []Peer `json:"peers,omitempty"`
	// Report is the sender's observation about a backend server.
	Report *suspicion.Report `json:"report,omitempty"`
	// Returns holds reports on servers of the sender's data centre that may have started again
	// without an entry in the store, or are suspected: the receiver may have started since.
	Returns []suspicion.Report `json:"returns,omitempty"`
	// Load is the sender's load report, base64 in a string, and Services the sums of its
	// data centre, a list of ServiceSum. They are decoded separately, so that a malformed
	// one doesn't affect the rest of the message.
	Load     json.RawMessage `json:"load,omitempty"`
	Services json.RawMessage `json:"services,omitempty"`
}

// position returns the position of the sender's catalogue.
func (m *message) position() catalogue.Position {
	return catalogue.Position{Epoch: m.Epoch, Revision: m.Revision}
}

// encode returns a value as JSON, compressed if it is large.
func encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) < compressionThreshold {
		return data, nil
	}
	return deflate.Pack(data), nil
}

// decode decodes the result of encode.
func decode(data []byte, into any) error {
	plain, err := deflate.Unpack(data, maxDecompressed)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(json.Unmarshal(plain, into))
}

// methodSince requests the changes after a position.
const methodSince = "catalogue.since"

// sinceParams holds the parameters of methodSince.
type sinceParams struct {
	Epoch    uint64 `json:"epoch,omitempty"`
	Revision uint64 `json:"revision"`
	// Complete asks for the complete catalogue if the changes are not known.
	Complete bool `json:"complete,omitempty"`
}

// sinceResult is the result of methodSince. Delta is an encoded catalogue.Delta, or empty
// if the changes are not known; AgeMS is its age in milliseconds.
type sinceResult struct {
	Delta []byte `json:"delta,omitempty"`
	AgeMS int64  `json:"ageMs"`
}
