package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Status is what a backend server says of itself.
type Status string

// The states that a backend server reports.
const (
	OK       Status = "ok"
	Cold     Status = "cold"
	Draining Status = "draining"
	Failing  Status = "failing"
)

// Health is what the health endpoint answers, true or not, and how late.
type Health struct {
	Status Status        `json:"status"`
	Load   float64       `json:"load"`
	Lag    time.Duration `json:"-"`
}

// SetHealth changes what the health endpoint answers from now on.
func (s *Server) SetHealth(h Health) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = h
}

// HealthURL returns the URL that probes ask.
func (s *Server) HealthURL() string {
	return "http://" + s.health.Addr().String() + "/health"
}

func (s *Server) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	h := s.report
	s.mu.Unlock()
	select {
	case <-time.After(h.Lag):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if h.Status == Failing {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(h)
}
