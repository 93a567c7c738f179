package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Status is the state that a backend server reports in its health endpoint.
type Status string

// The states that the health endpoint can report.
const (
	OK       Status = "ok"
	Cold     Status = "cold"
	Draining Status = "draining"
	Failing  Status = "failing"
)

// Health is the response of the health endpoint, which need not match the actual
// state. Delay is how long the endpoint waits before it responds.
type Health struct {
	Status Status        `json:"status"`
	Load   float64       `json:"load"`
	Delay  time.Duration `json:"-"`
}

// SetHealth sets the response of the health endpoint.
func (s *Server) SetHealth(h Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = h
}

// HealthURL returns the URL of the health endpoint.
func (s *Server) HealthURL() string {
	return "http://" + s.healthListener.Addr().String() + "/health"
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.health
	s.mu.Unlock()
	select {
	case <-time.After(h.Delay):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if h.Status == Failing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}
