package confsync

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"balsamfork/internal/config"
	"balsamfork/internal/confstore"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
)

// The methods between instances.
const (
	// MethodGet asks for what the caller lacks of the newest version.
	MethodGet = "config.get"
	// MethodVersion tells of a version, without an answer.
	MethodVersion = "config.version"
)

// Store reads the configuration from the store.
type Store interface {
	// Read returns the newest version and reads only what known lacks.
	Read(ctx context.Context, known confstore.Snapshot) (confstore.Snapshot, error)
	// Watch waits for a version after known.
	Watch(ctx context.Context, known confstore.Snapshot) (confstore.Snapshot, error)
}

// Limiter shares the rate of the store's reads out.
type Limiter interface {
	// SetReaders sets the number of instances that have a part like this one's.
	SetReaders(n int)
}

// Options is what a Syncer is built from.
type Options struct {
	Self   fleet.ID
	Store  Store
	Limits Limiter
	Peers  peer.Caller
	// Random draws the jitter and the order of peers.
	Random *rand.Rand
	Scope  tally.Scope
	Log    *slog.Logger
}

// Syncer keeps the newest configuration in force at one instance.
type Syncer struct {
	store  Store
	limits Limiter
	peers  peer.Caller
	holder holder
	offers *offers
	wake   chan struct{}
	turn   chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	view        *fleet.View
	role        role
	largest     int
	cancelWatch context.CancelFunc
}

// New returns a Syncer and registers its methods. Run starts it.
func New(o Options, registry peer.Registry) *Syncer {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	s := &Syncer{
		store:  o.Store,
		limits: o.Limits,
		peers:  o.Peers,
		holder: holder{log: o.Log.With("part", "config"), metrics: newMetrics(o.Scope)},
		offers: newOffers(time.Now()),
		wake:   make(chan struct{}, 1),
		turn:   make(chan struct{}, 1),
		random: o.Random,
		view:   &fleet.View{Self: o.Self},
	}
	registry.Handle(MethodGet, s.answerGet)
	registry.Handle(MethodVersion, s.answerVersion)
	return s
}

// Current returns the configuration in force, nil before the first.
func (s *Syncer) Current() *config.Config {
	_, conf := s.holder.current()
	return conf
}

// State returns the stored form of the version in force, nil before the first.
// It must not be changed.
func (s *Syncer) State() *config.State {
	state, _ := s.holder.current()
	return state
}

// OnChange has f called with each version that comes into force, in order. It
// must be called before Run, and f must return soon.
func (s *Syncer) OnChange(f func(*config.Config)) {
	s.holder.listeners = append(s.holder.listeners, f)
}

// PeerVersion notes the version that a message from a peer carried. It is cheap
// and may be called for every message.
func (s *Syncer) PeerVersion(from fleet.ID, v config.Version) {
	s.offers.note(from, v, time.Now())
	if s.holder.wants(v) {
		signal(s.wake)
	}
	s.releaseWatch()
}

// SetView takes a new view of the fleet over.
func (s *Syncer) SetView(view *fleet.View) {
	s.mu.Lock()
	s.view = view
	s.largest = max(s.largest, len(view.Instances))
	s.role = decideRole(view, s.largest)
	s.limits.SetReaders(s.role.readers)
	s.mu.Unlock()
	s.releaseWatch()
	s.offers.keep(view)
	signal(s.turn)
	if s.holder.version() == 0 {
		signal(s.wake)
	}
}

// releaseWatch ends a watch of the store that there is no reason for any more.
func (s *Syncer) releaseWatch() {
	if s.holder.version() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.role.watches && s.cancelWatch != nil {
		s.cancelWatch()
		s.cancelWatch = nil
	}
}

func (s *Syncer) snapshot() (*fleet.View, role) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.role
}

// Run keeps the configuration new until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.pullLoop(ctx) })
	group.Go(func() error { return s.storeLoop(ctx) })
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// signal leaves a mark in a channel of capacity one.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random time from half of d to d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)+1))
}

// sleep waits for d, a signal, or the end of ctx.
func sleep(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-early:
	case <-ctx.Done():
	}
}

// getResult is empty unless the peer has a newer version.
type getResult struct {
	Version config.Version `json:"version"`
	Delta   *config.Delta  `json:"delta,omitempty"`
}

type versionParams struct {
	Version config.Version `json:"version"`
}

func (s *Syncer) answerGet(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var ask config.Held
	if err := json.Unmarshal(params, &ask); err != nil {
		return nil, config.Invalid.New("%s from %s: %w", MethodGet, from, err)
	}
	s.PeerVersion(from, ask.Version)
	state := s.State()
	if state == nil {
		return getResult{}, nil
	}
	result := getResult{Version: state.Version}
	if state.Version > ask.Version {
		delta := state.DeltaFrom(ask)
		result.Delta = &delta
	}
	return result, nil
}

func (s *Syncer) answerVersion(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var told versionParams
	if err := json.Unmarshal(params, &told); err != nil {
		return nil, config.Invalid.New("%s from %s: %w", MethodVersion, from, err)
	}
	s.PeerVersion(from, told.Version)
	return struct{}{}, nil
}
