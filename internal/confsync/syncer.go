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

// The methods that instances call on one another.
const (
	// MethodGet returns the version in force at the peer, as the records that
	// the caller lacks.
	MethodGet = "config.get"
	// MethodVersion notifies a peer of a version, without a result.
	MethodVersion = "config.version"
)

// Store reads the configuration from the store, and writes it after a restore of the
// store.
type Store interface {
	// Read returns the newest version and reads only the records that known
	// lacks.
	Read(ctx context.Context, known confstore.Snapshot) (confstore.Snapshot, error)
	// Watch waits for a head newer than that of known and returns its version,
	// as Read does.
	Watch(ctx context.Context, known confstore.Snapshot) (confstore.Snapshot, error)
	// Propose writes the version that a proposal derives.
	Propose(ctx context.Context, propose config.Proposal, change config.Change) (confstore.Outcome, error)
}

// Limiter divides the read rate of the store among the instances.
type Limiter interface {
	// SetReaders sets the number of equal shares; this instance gets one.
	SetReaders(n int)
}

// Options configures a Syncer.
type Options struct {
	Self   fleet.ID
	Store  Store
	Limits Limiter
	Peers  peer.Caller
	// Random determines the jitter and the order of peers.
	Random *rand.Rand
	Scope  tally.Scope
	Log    *slog.Logger
}

// Syncer keeps the newest configuration in force at one instance.
type Syncer struct {
	self        fleet.ID
	store       Store
	limits      Limiter
	peers       peer.Caller
	holder      holder
	peerReports *peerReports
	pullNeeded  chan struct{}
	viewChanged chan struct{}

	mu           sync.Mutex
	random       *rand.Rand
	view         *fleet.View
	role         role
	largestFleet int
	cancelWatch  context.CancelFunc
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
		self:        o.Self,
		store:       o.Store,
		limits:      o.Limits,
		peers:       o.Peers,
		holder:      holder{log: o.Log.With("part", "config"), metrics: newMetrics(o.Scope)},
		peerReports: newPeerReports(time.Now()),
		pullNeeded:  make(chan struct{}, 1),
		viewChanged: make(chan struct{}, 1),
		random:      o.Random,
		view:        &fleet.View{Self: o.Self},
	}
	registry.Handle(MethodGet, s.handleGet)
	registry.Handle(MethodVersion, s.handleVersion)
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

// OnChange registers f to be called with each version that comes into force, in
// order. It must be called before Run, and f must return quickly.
func (s *Syncer) OnChange(f func(*config.Config)) {
	s.holder.listeners = append(s.holder.listeners, f)
}

// RecordPeerVersion records the version in a message from a peer. It is cheap and may
// be called for every message.
func (s *Syncer) RecordPeerVersion(from fleet.ID, v config.Version) {
	s.peerReports.record(from, v, time.Now())
	if s.holder.wants(v) {
		signal(s.pullNeeded)
	}
	s.cancelUnneededWatch()
}

// SetView replaces the view of the fleet.
func (s *Syncer) SetView(view *fleet.View) {
	s.mu.Lock()
	s.view = view
	s.largestFleet = max(s.largestFleet, len(view.Instances))
	s.role = decideRole(view, s.largestFleet)
	s.limits.SetReaders(s.role.readers)
	s.mu.Unlock()
	s.cancelUnneededWatch()
	s.peerReports.prune(view)
	signal(s.viewChanged)
	if s.holder.version() == 0 {
		signal(s.pullNeeded)
	}
}

// cancelUnneededWatch cancels the watch of the store if this instance has a
// version in force and is not a watcher.
func (s *Syncer) cancelUnneededWatch() {
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

func (s *Syncer) viewAndRole() (*fleet.View, role) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, s.role
}

// Run keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.pullLoop(ctx) })
	group.Go(func() error { return s.storeLoop(ctx) })
	if err := group.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// signal sends to a channel of capacity one, without blocking.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random duration from half of d to d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d/2 + time.Duration(s.random.Int64N(int64(d/2)+1))
}

// sleep waits for d, a wake-up, or the end of ctx.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// getResult is the result of MethodGet. Version is zero if the peer has no
// configuration, and Delta is nil unless Version is newer than the one in the
// request.
type getResult struct {
	Version config.Version `json:"version"`
	Delta   *config.Delta  `json:"delta,omitempty"`
}

type versionParams struct {
	Version config.Version `json:"version"`
}

func (s *Syncer) handleGet(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var held config.VersionID
	if err := json.Unmarshal(params, &held); err != nil {
		return nil, config.Invalid.New("%s from %s: %w", MethodGet, from, err)
	}
	s.RecordPeerVersion(from, held.Version)
	state := s.State()
	if state == nil {
		return getResult{}, nil
	}
	result := getResult{Version: state.Version}
	if state.Version > held.Version {
		delta := state.DeltaFrom(held)
		result.Delta = &delta
	}
	return result, nil
}

func (s *Syncer) handleVersion(_ context.Context, from fleet.ID, params json.RawMessage) (any, error) {
	var reported versionParams
	if err := json.Unmarshal(params, &reported); err != nil {
		return nil, config.Invalid.New("%s from %s: %w", MethodVersion, from, err)
	}
	s.RecordPeerVersion(from, reported.Version)
	return struct{}{}, nil
}
