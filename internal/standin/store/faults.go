package store

import (
	"context"
	"time"
)

// faults is what the server was told to do wrong.
type faults struct {
	down  bool
	delay time.Duration
	// lost counts the writes whose answers are yet to be lost, old the reads that
	// are yet to be answered by the value before.
	lost int
	old  int
	// Every everyLost-th of the writes that took effect loses its answer; zero
	// loses none.
	everyLost int
	writes    int
}

func (f *faults) lose() bool {
	f.writes++
	f.lost = max(f.lost-1, -1)
	return f.lost >= 0 || f.everyLost > 0 && f.writes%f.everyLost == 0
}

// SetDown takes the store down, which breaks all waiting watches, or up again.
func (s *Server) SetDown(down bool) {
	s.set(func(f *faults) {
		f.down = down
		s.wake()
	})
}

// SetDelay makes every call take that much longer.
func (s *Server) SetDelay(delay time.Duration) {
	s.set(func(f *faults) { f.delay = delay })
}

// LoseAnswers breaks the connection after each of the next n writes that took
// effect, instead of answering.
func (s *Server) LoseAnswers(n int) {
	s.set(func(f *faults) { f.lost = n })
}

// LoseEvery does the same with every nth write, and with none if n is zero.
func (s *Server) LoseEvery(n int) {
	s.set(func(f *faults) { f.everyLost = n })
}

// AnswerOld answers the next n reads of keys that were overwritten by the value
// before.
func (s *Server) AnswerOld(n int) {
	s.set(func(f *faults) { f.old = n })
}

// LapseLeases ends all leases at once.
func (s *Server) LapseLeases() {
	s.set(func(*faults) {
		for key, lease := range s.leases {
			lease.Expires = time.Time{}
			s.leases[key] = lease
		}
	})
}

func (s *Server) set(change func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// pause waits for the delay and reports false if the store is down.
func (s *Server) pause(ctx context.Context) bool {
	s.mu.Lock()
	delay := s.faults.delay
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.faults.down
}
