package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamfork/internal/store"
)

const (
	// maxWait bounds how long a watch waits.
	maxWait = time.Minute
	// broken is the status of a call whose connection ends without an answer.
	broken = 0
)

var errBroken = errors.New("connection broken")

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.answer(r)
	if status == broken {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// RoundTrip answers a call in process, without a socket.
func (s *Server) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	status, body := s.answer(r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if status == broken {
		return nil, errBroken
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
}

// answer carries a call out and returns the status and the body.
func (s *Server) answer(r *http.Request) (int, []byte) {
	if !s.admit(r.Method != http.MethodGet) {
		return http.StatusTooManyRequests, nil
	}
	if !s.pause(r.Context()) {
		return http.StatusServiceUnavailable, nil
	}
	kind, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
	switch r.Method + " " + kind {
	case "GET keys":
		return s.get(key)
	case "PUT keys":
		return s.put(key, r)
	case "GET watch":
		return s.watch(key, r)
	case "POST leases":
		return s.lease(key, r)
	}
	return http.StatusBadRequest, nil
}

func (s *Server) admit(isWrite bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter, count := s.reads, &s.counts.Reads
	if isWrite {
		limiter, count = s.writes, &s.counts.Writes
	}
	*count++
	if limiter.Allow() {
		return true
	}
	s.counts.Refused++
	return false
}

func (s *Server) get(key string) (int, []byte) {
	s.mu.Lock()
	value := s.look(key)
	s.mu.Unlock()
	if value.Revision == 0 {
		return http.StatusNotFound, nil
	}
	return encode(value)
}

func (s *Server) put(key string, r *http.Request) (int, []byte) {
	data, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValue+1))
	if err != nil || len(data) > store.MaxValue {
		return http.StatusRequestEntityTooLarge, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.keys[key].now
	if now.Revision != revision(r, "revision") {
		return http.StatusConflict, nil
	}
	s.keys[key] = entry{before: now, now: store.Value{Revision: now.Revision + 1, Data: data}}
	s.wake()
	return s.written(store.Value{Revision: now.Revision + 1})
}

// written answers a write that took effect, unless its answer is to be lost.
func (s *Server) written(body any) (int, []byte) {
	if s.faults.lose() {
		return broken, nil
	}
	return encode(body)
}

func (s *Server) watch(key string, r *http.Request) (int, []byte) {
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	end := time.NewTimer(min(wait, maxWait))
	defer end.Stop()
	for {
		s.mu.Lock()
		value := s.look(key)
		changed, down := s.changed, s.faults.down
		s.mu.Unlock()
		if down {
			return broken, nil
		}
		if value.Revision > revision(r, "after") {
			return encode(value)
		}
		select {
		case <-changed:
		case <-end.C:
			return http.StatusNoContent, nil
		case <-r.Context().Done():
			return broken, nil
		}
	}
}

func (s *Server) lease(key string, r *http.Request) (int, []byte) {
	var ask struct {
		Holder    string `json:"holder"`
		TTLMillis int64  `json:"ttlMillis"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, granted := s.grant(key, ask.Holder, time.Duration(ask.TTLMillis)*time.Millisecond)
	if !granted {
		return http.StatusConflict, []byte("held by " + lease.Holder)
	}
	return s.written(lease)
}

// revision returns a parameter of the call, zero if it is none.
func revision(r *http.Request, name string) store.Revision {
	number, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return store.Revision(number)
}

func encode(body any) (int, []byte) {
	data, _ := json.Marshal(body) // values and leases always encode
	return http.StatusOK, data
}
