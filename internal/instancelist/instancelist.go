// Package instancelist reads the platform's list of instances from the store. The
// list may be out of date, so it is used only as a seed for membership.
package instancelist

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"balsamfork/internal/fleet"
	"balsamfork/internal/store"
)

// Key is the store key of the list.
const Key = "instances"

// MaxInstances is the maximum number of entries in a list.
const MaxInstances = 4096

// Malformed is the class of errors for a value that is not a valid list of instances.
var Malformed = errs.Class("instancelist: malformed list")

const (
	// readPeriod is the mean time between two reads. With 410 instances, the fleet
	// then makes 14 calls a second to the store.
	readPeriod = 30 * time.Second
	// minRetryDelay and maxRetryDelay bound the mean delay after a failed read.
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
	// readTimeout is the time limit of one read.
	readTimeout = 5 * time.Second
)

// entry is one instance in the platform's list.
type entry struct {
	ID         fleet.ID       `json:"id"`
	DataCentre string         `json:"dataCentre"`
	Region     string         `json:"region"`
	Packets    netip.AddrPort `json:"packets"`
	Control    netip.AddrPort `json:"control"`
	Requests   netip.AddrPort `json:"requests"`
	Leaving    bool           `json:"leaving"`
}

// Parse decodes a list. Unknown fields are ignored, since the platform defines the
// format. It returns an error of class Malformed if the list cannot be decoded or
// has more than MaxInstances entries, or if an entry, named by its index, has no ID
// or no control address.
func Parse(data []byte) ([]fleet.Instance, error) {
	var entries []entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, Malformed.Wrap(err)
	}
	if len(entries) > MaxInstances {
		return nil, Malformed.New("the list has %d instances; the limit is %d", len(entries), MaxInstances)
	}
	out := make([]fleet.Instance, 0, len(entries))
	for at, e := range entries {
		if e.ID == "" || !e.Control.IsValid() {
			return nil, Malformed.New("entry %d has no ID or no control address", at)
		}
		out = append(out, e.instance())
	}
	return out, nil
}

func (e entry) instance() fleet.Instance {
	state := fleet.Alive
	if e.Leaving {
		state = fleet.Leaving
	}
	return fleet.Instance{
		ID:         e.ID,
		DataCentre: e.DataCentre,
		Region:     e.Region,
		State:      state,
		Packets:    e.Packets,
		Control:    e.Control,
		Requests:   e.Requests,
	}
}

// Reader periodically reads the list from the store.
type Reader struct {
	store       store.Store
	onList      func([]fleet.Instance)
	random      *rand.Rand
	log         *slog.Logger
	failedReads tally.Counter
	reads       tally.Counter
}

// New returns a Reader that passes each list it reads to onList.
func New(s store.Store, onList func([]fleet.Instance), seed uint64, log *slog.Logger, scope tally.Scope) *Reader {
	scope = scope.SubScope("instancelist")
	return &Reader{
		store:       s,
		onList:      onList,
		random:      rand.New(rand.NewPCG(seed, 0)),
		log:         log.With("part", "instancelist"),
		failedReads: scope.Counter("readings_failed"),
		reads:       scope.Counter("readings"),
	}
}

// Run reads the list periodically until the context ends. After a failed read it
// retries with an exponential delay; the last list remains in use.
func (r *Reader) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	for {
		wait := readPeriod
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			r.failedReads.Inc(1)
			r.log.Warn("Failed to read the list of instances.", "error", err)
			wait = retryDelay
			retryDelay = min(2*retryDelay, maxRetryDelay)
		} else {
			retryDelay = minRetryDelay
		}
		select {
		case <-time.After(r.jitter(wait)):
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r.reads.Inc(1)
	v, err := r.store.Get(ctx, Key)
	if store.NotFound.Has(err) {
		return nil
	}
	if err != nil {
		return err
	}
	list, err := Parse(v.Data)
	if err != nil {
		return err
	}
	r.onList(list)
	return nil
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}
