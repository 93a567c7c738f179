package confstore

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/zeebo/errs"

	"balsamfork/internal/audit"
	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// Error is the class of errors for a stored configuration that cannot be
// decoded or is inconsistent.
var Error = errs.Class("confstore")

// The keys in the store.
const (
	headKey       = "balsamfork/config/head"
	allocationKey = "balsamfork/config/allocations"
	valuePrefix   = "balsamfork/config/value/"
	auditPrefix   = "balsamfork/audit"
)

const (
	// targetValueBytes bounds the encoded records in a value that holds more than
	// one service.
	targetValueBytes = store.MaxValue / 2
	// maxValues is the number of values at which the next write rewrites all of
	// them, which bounds the cost of reading a whole configuration.
	maxValues = 12
)

// Head is the stored form of everything but the services.
type Head struct {
	Header config.StateHeader `json:"header"`
	// Services lists the services in order.
	Services []ServiceRef `json:"services"`
	// Values lists the values that the services refer to.
	Values []ValueRef `json:"values"`
	// Entry is the audit entry of the version.
	Entry audit.Entry `json:"entry"`
}

// ServiceRef locates the record of a service: Value is the number of the value
// that holds it, and Written the version that last changed it.
type ServiceRef struct {
	Name    string         `json:"name"`
	Written config.Version `json:"written"`
	Value   uint64         `json:"value"`
}

// ValueRef names a value by its number and the SHA-256 of its bytes.
type ValueRef struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// Value is the stored form of services that one change wrote.
type Value struct {
	// Base is the revision of the head that the writer started from.
	Base     store.Revision         `json:"base"`
	Services []config.ServiceRecord `json:"services"`
}

func valueKey(number uint64) string {
	return fmt.Sprintf("%s%d", valuePrefix, number)
}

func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// digest returns the digest in the audit entry of a version: the SHA-256 of the
// head without the entry. It covers the services because the head names their
// values by digest.
func (h Head) digest() (string, error) {
	h.Entry = audit.Entry{}
	data, err := json.Marshal(h)
	if err != nil {
		return "", Error.Wrap(err)
	}
	return digest(data), nil
}

// encodeValues encodes records into as few values as the size limit allows, and
// returns the bytes of each value along with its records.
func encodeValues(base store.Revision, records []config.ServiceRecord) ([][]byte, [][]config.ServiceRecord, error) {
	groups, err := groupBySize(records)
	if err != nil {
		return nil, nil, err
	}
	var encoded [][]byte
	for _, g := range groups {
		data, err := json.Marshal(Value{Base: base, Services: g})
		if err != nil {
			return nil, nil, Error.Wrap(err)
		}
		if len(data) > store.MaxValue {
			return nil, nil, store.TooLarge.New("service %q is %d bytes when encoded", g[0].Name, len(data))
		}
		encoded = append(encoded, data)
	}
	return encoded, groups, nil
}

func groupBySize(records []config.ServiceRecord) ([][]config.ServiceRecord, error) {
	var groups [][]config.ServiceRecord
	size := targetValueBytes
	for _, record := range records {
		data, err := json.Marshal(record)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if size+len(data) > targetValueBytes {
			groups = append(groups, nil)
			size = 0
		}
		last := len(groups) - 1
		groups[last] = append(groups[last], record)
		size += len(data) + 1
	}
	return groups, nil
}
