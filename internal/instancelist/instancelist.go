// Package instancelist reads the platform's list of instances. The list lags behind
// the truth: it is a seed for membership and nothing more.
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

// Key is the key of the store that holds the list.
const Key = "instances"

// MaxInstances is the longest list that is read.
const MaxInstances = 4096

// Malformed is the class of errors for a value that is no list of instances.
var Malformed = errs.Class("instancelist: malformed list")

const (
	// period is the mean time between two readings: the whole fleet at 410
	// instances then makes 14 calls a second.
	period = 30 * time.Second
	// firstRetry and lastRetry bound the wait after a reading that failed.
	firstRetry = time.Second
	lastRetry  = time.Minute
	// readTimeout bounds one reading.
	readTimeout = 5 * time.Second
)

// entry is one instance as the platform writes it.
type entry struct {
	ID         fleet.ID       `json:"id"`
	DataCentre string         `json:"dataCentre"`
	Region     string         `json:"region"`
	Packets    netip.AddrPort `json:"packets"`
	Control    netip.AddrPort `json:"control"`
	Requests   netip.AddrPort `json:"requests"`
	Leaving    bool           `json:"leaving"`
}

// Parse reads a list. Fields that are not known are passed over, as the list is
// the platform's; an entry without ID or control address is refused by number.
func Parse(data []byte) ([]fleet.Instance, error) {
	var entries []entry
	if err := json.Unmarshal(data, &entries); err != nil {
		return nil, Malformed.Wrap(err)
	}
	if len(entries) > MaxInstances {
		return nil, Malformed.New("%d instances, at most %d", len(entries), MaxInstances)
	}
	out := make([]fleet.Instance, 0, len(entries))
	for at, e := range entries {
		if e.ID == "" || !e.Control.IsValid() {
			return nil, Malformed.New("entry %d has no id or no control address", at)
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

// Reader follows the list in the store.
type Reader struct {
	store  store.Store
	onList func([]fleet.Instance)
	random *rand.Rand
	log    *slog.Logger
	failed tally.Counter
	reads  tally.Counter
}

// New makes a Reader that hands each list it reads to onList.
func New(s store.Store, onList func([]fleet.Instance), seed uint64, log *slog.Logger, scope tally.Scope) *Reader {
	scope = scope.SubScope("instancelist")
	return &Reader{
		store:  s,
		onList: onList,
		random: rand.New(rand.NewPCG(seed, 0)),
		log:    log.With("part", "instancelist"),
		failed: scope.Counter("readings_failed"),
		reads:  scope.Counter("readings"),
	}
}

// Run reads the list now and again until the context ends. After a failure the
// last list stays in use and the waits grow.
func (r *Reader) Run(ctx context.Context) {
	retry := firstRetry
	for {
		wait := period
		if err := r.read(ctx); err != nil && ctx.Err() == nil {
			r.failed.Inc(1)
			r.log.Warn("List of instances not read.", "error", err)
			wait = retry
			retry = min(2*retry, lastRetry)
		} else {
			retry = firstRetry
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

// jitter returns a time between half and one and a half of d.
func (r *Reader) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(r.random.Int64N(int64(d)))
}
