package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"balsamfork/internal/store"
)

// The rates of the service, in calls a second.
const (
	WriteRate = 300
	ReadRate  = 2000
)

// maxWait bounds how long a watch waits.
const maxWait = time.Minute

// Counts is how many calls came in, refused ones included.
type Counts struct {
	Reads   int
	Writes  int
	Refused int
}

// Server is the stand-in. It is an http.Handler; its other methods tell it what
// to do wrong, and may be called at any time.
type Server struct {
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	keys    map[string]*entry
	leases  map[string]store.Lease
	changed chan struct{}
	counts  Counts
	faults  faults
}

type entry struct {
	now    store.Value
	before store.Value
}

// New returns an empty store without faults.
func New() *Server {
	s := &Server{
		mux:     http.NewServeMux(),
		reads:   rate.NewLimiter(ReadRate, ReadRate),
		writes:  rate.NewLimiter(WriteRate, WriteRate),
		keys:    map[string]*entry{},
		leases:  map[string]store.Lease{},
		changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/keys/{key...}", s.get)
	s.mux.HandleFunc("PUT /v1/keys/{key...}", s.put)
	s.mux.HandleFunc("GET /v1/watch/{key...}", s.watch)
	s.mux.HandleFunc("POST /v1/leases/{key...}", s.lease)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	isWrite := r.Method != http.MethodGet
	if !s.admit(isWrite) {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	if !s.pause(r) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) admit(isWrite bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.reads
	if isWrite {
		limiter = s.writes
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	if limiter.Allow() {
		return true
	}
	s.counts.Refused++
	return false
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Keys returns the number of keys that have a value.
func (s *Server) Keys() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.keys)
}

// Peek returns the value of a key, past all limits and faults.
func (s *Server) Peek(key string) (store.Value, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil {
		return store.Value{}, false
	}
	return e.now, true
}

// Poke swaps the value of a key past all limits. An answer to be lost is
// reported as store.Unknown.
func (s *Server) Poke(key string, old store.Revision, data []byte) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, swapped := s.swap(key, old, data)
	if !swapped {
		return 0, store.Conflict.New("%s", key)
	}
	if s.faults.lose() {
		return 0, store.Unknown.New("%s", key)
	}
	return revision, nil
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	value, found := s.look(r.PathValue("key"))
	s.mu.Unlock()
	if !found {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	reply(w, value)
}

// look returns what a read answers; it is called with the lock held.
func (s *Server) look(key string) (store.Value, bool) {
	e := s.keys[key]
	if e == nil {
		return store.Value{}, false
	}
	if s.faults.old > 0 && e.before.Revision > 0 {
		s.faults.old--
		return e.before, true
	}
	return e.now, true
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	old, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "no revision", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	revision, swapped := s.swap(r.PathValue("key"), store.Revision(old), data)
	lose := swapped && s.faults.lose()
	s.mu.Unlock()
	switch {
	case !swapped:
		http.Error(w, "another revision", http.StatusConflict)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		reply(w, store.Value{Revision: revision})
	}
}

// swap is called with the lock held.
func (s *Server) swap(key string, old store.Revision, data []byte) (store.Revision, bool) {
	e := s.keys[key]
	if e == nil {
		e = &entry{}
	}
	if e.now.Revision != old {
		return 0, false
	}
	e.before = e.now
	e.now = store.Value{Revision: old + 1, Data: data}
	s.keys[key] = e
	s.wake()
	return e.now.Revision, true
}

// wake lets all watches look again; it is called with the lock held.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "no revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "no wait", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(wait, maxWait))
	defer end.Stop()
	for {
		s.mu.Lock()
		value, _ := s.look(r.PathValue("key"))
		changed, down := s.changed, s.faults.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if value.Revision > store.Revision(after) {
			reply(w, value)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) lease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Holder    string `json:"holder"`
		TTLMillis int64  `json:"ttlMillis"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		http.Error(w, "no lease", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lease, granted := s.grant(r.PathValue("key"), ask.Holder, time.Duration(ask.TTLMillis)*time.Millisecond)
	lose := granted && s.faults.lose()
	s.mu.Unlock()
	switch {
	case !granted:
		http.Error(w, "held by "+lease.Holder, http.StatusConflict)
	case lose:
		panic(http.ErrAbortHandler)
	default:
		reply(w, lease)
	}
}

// grant is called with the lock held.
func (s *Server) grant(key, holder string, ttl time.Duration) (store.Lease, bool) {
	now := time.Now()
	lease := s.leases[key]
	live := now.Before(lease.Expires)
	if live && lease.Holder != holder {
		return lease, false
	}
	if !live {
		lease.Fence++
	}
	lease.Holder, lease.Expires = holder, now.Add(ttl)
	s.leases[key] = lease
	return lease, true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
