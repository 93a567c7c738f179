package confstore

import (
	"context"
	"encoding/json"

	"balsamfork/internal/config"
	"balsamfork/internal/store"
)

// maxReadAttempts bounds the attempts of a read during which the configuration
// changes.
const maxReadAttempts = 6

// Snapshot is a version as stored.
type Snapshot struct {
	// State is nil before the first version.
	State *config.State
	// Head is the stored head, and Position that of its last change.
	Head     Head
	Position store.Position
}

// Version returns the version of the snapshot, zero before the first.
func (s Snapshot) Version() config.Version {
	return s.Head.Header.Version
}

// Repository reads and writes the configuration in one store. Its methods may be
// called from several goroutines.
type Repository struct {
	store store.Store
}

// New returns the repository in the store s.
func New(s store.Store) *Repository {
	return &Repository{store: s}
}

// Read returns the newest version. Records that known already holds are not
// read again; known may be empty. Errors are those of the store, config.Newer,
// or Error.
func (r *Repository) Read(ctx context.Context, known Snapshot) (Snapshot, error) {
	value, err := r.store.Get(ctx, headKey)
	if store.NotFound.Has(err) {
		return Snapshot{}, nil
	}
	if err != nil {
		return Snapshot{}, err
	}
	return r.resolve(ctx, known, value)
}

// Watch waits for a head newer than that of known and returns its version, as
// Read does.
func (r *Repository) Watch(ctx context.Context, known Snapshot) (Snapshot, error) {
	value, err := r.store.Watch(ctx, headKey, known.Position)
	if err != nil {
		return Snapshot{}, err
	}
	return r.resolve(ctx, known, value)
}

// resolve reads the values that the head in value refers to, and starts over
// with the current head if one of them was overwritten in the meantime.
func (r *Repository) resolve(ctx context.Context, known Snapshot, value store.Value) (Snapshot, error) {
	var lastErr error
	for range maxReadAttempts {
		snapshot, consistent, err := r.assemble(ctx, known, value)
		if consistent || err != nil {
			return snapshot, err
		}
		lastErr = Error.New("a value of version %d is missing or does not match its digest", snapshot.Version())
		if value, err = r.store.Get(ctx, headKey); err != nil {
			return Snapshot{}, err
		}
	}
	return Snapshot{}, lastErr
}

// assemble builds the version of one head. It reports false if a value is not
// the one that the head names.
func (r *Repository) assemble(ctx context.Context, known Snapshot, value store.Value) (Snapshot, bool, error) {
	s := Snapshot{Position: value.Position}
	if err := json.Unmarshal(value.Data, &s.Head); err != nil {
		return s, false, Error.New("decode head: %w", err)
	}
	if err := s.Head.Header.Readable(); err != nil {
		return s, false, err
	}
	state := &config.State{StateHeader: s.Head.Header}
	values := map[uint64]map[string]config.ServiceRecord{}
	reusable := map[string]*config.ServiceRecord{}
	if s.Head.Header.DescendsFrom(known.State.VersionID()) {
		reusable = known.records()
	}
	for _, ref := range s.Head.Services {
		if cached := reusable[ref.Name]; cached != nil && cached.Written == ref.Written {
			state.Services = append(state.Services, *cached)
			continue
		}
		if values[ref.Value] == nil {
			records, consistent, err := r.value(ctx, s.Head, ref.Value)
			if !consistent || err != nil {
				return s, false, err
			}
			values[ref.Value] = records
		}
		record, found := values[ref.Value][ref.Name]
		if !found || record.Written != ref.Written {
			return s, false, Error.New("value %d does not hold service %q at version %d", ref.Value, ref.Name, ref.Written)
		}
		state.Services = append(state.Services, record)
	}
	s.State = state
	return s, true, nil
}

// records returns the records of the snapshot by name.
func (s Snapshot) records() map[string]*config.ServiceRecord {
	byName := make(map[string]*config.ServiceRecord, len(s.State.Services))
	for i := range s.State.Services {
		byName[s.State.Services[i].Name] = &s.State.Services[i]
	}
	return byName
}

// value reads one value and reports false if it is not the one that head
// names.
func (r *Repository) value(ctx context.Context, head Head, number uint64) (map[string]config.ServiceRecord, bool, error) {
	stored, err := r.store.Get(ctx, valueKey(number))
	if store.NotFound.Has(err) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	wantDigest := ""
	for _, ref := range head.Values {
		if ref.Number == number {
			wantDigest = ref.Digest
		}
	}
	if digest(stored.Data) != wantDigest {
		return nil, false, nil
	}
	var content Value
	if err := json.Unmarshal(stored.Data, &content); err != nil {
		return nil, false, Error.New("decode value %d: %w", number, err)
	}
	byName := make(map[string]config.ServiceRecord, len(content.Services))
	for _, record := range content.Services {
		byName[record.Name] = record
	}
	return byName, true, nil
}
