// Package store is a small stand-in for the platform's key-value service. It
// serves over HTTP what package storeclient speaks, keeps everything in memory,
// limits its rates, and can be told to fail in the ways that the service does.
//
//	GET  /v1/keys/KEY                 200 {revision, data}, 404
//	PUT  /v1/keys/KEY?revision=N      200 {revision}, 409, 413
//	GET  /v1/watch/KEY?after=N&wait=D 200 {revision, data}, 204 when D has passed
//	POST /v1/leases/KEY               {holder, ttlMillis}: 200 lease, 409
//
// Any of them is answered by 429 over the rate and by 503 when it is down; both
// mean that nothing was done.
package store

import (
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

// Counts is how many calls came in, refused ones included.
type Counts struct {
	Reads   int
	Writes  int
	Refused int
}

// Server is the stand-in. It is an http.Handler and an http.RoundTripper; its
// other methods tell it what to do wrong, and may be called at any time.
type Server struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	keys    map[string]entry
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
	return &Server{
		reads:   rate.NewLimiter(ReadRate, ReadRate),
		writes:  rate.NewLimiter(WriteRate, WriteRate),
		keys:    map[string]entry{},
		leases:  map[string]store.Lease{},
		changed: make(chan struct{}),
	}
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

// look returns what a read answers. Like wake and grant it is called with the
// lock held.
func (s *Server) look(key string) store.Value {
	e := s.keys[key]
	if s.faults.old > 0 && e.before.Revision > 0 {
		s.faults.old--
		return e.before
	}
	return e.now
}

// wake lets all watches look again.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

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
