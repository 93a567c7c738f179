package main

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"time"

	"balsamfork/platform/platformtest"
)

const (
	// floodSource is the argument of generateTraffic for the route of the lowest priority.
	floodSource = 4
	// floodFlows is how many flows each caller floods with. Together they ask for some 4
	// times what the desk service can do while its slots take floodWork for a request.
	floodFlows = 24
	floodTime  = 4 * time.Second
	floodWork  = 200 * time.Millisecond
)

// injectFlood floods the route of the lowest priority in the second half of the span, while
// the servers need time for each request.
func (s *soakRun) injectFlood(callers []*platformtest.Caller, span time.Duration) {
	time.Sleep(span / 2)
	s.work.Store(int64(floodWork))
	stop := make(chan struct{})
	for n := range floodFlows * len(callers) {
		s.faults.Go(func() { s.generateTraffic(callers[n%len(callers)], floodSource, stop) })
	}
	time.Sleep(floodTime)
	close(stop)
	s.work.Store(0)
}

// count counts an outcome. That of a request, which includes one whose flow did not open, also
// counts by destination during a flood.
func (s *soakRun) count(to netip.AddrPort, outcome platformtest.Outcome, request bool) {
	s.outcomes[outcome].Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if request && s.work.Load() > 0 {
		s.asked[to]++
		if outcome == platformtest.Answered {
			s.answered[to]++
		}
	}
}

// checkFlood checks that instances refused flows for overload, and that a larger part of
// the urgent requests was answered than of the flood's.
// The urgent ones are those to deskAddress.
func (s *soakRun) checkFlood() {
	logged := 0 // instances log a part of their decisions
	for _, i := range s.instances {
		data, err := os.ReadFile(i.log)
		s.must(err)
		logged += bytes.Count(data, []byte(`"reason":"overloaded"`))
	}
	text := fmt.Sprintf("flood: %d refusals for overload logged, asked %v, answered %v", logged, s.asked, s.answered)
	s.t.Logf("seed %d: %s", s.seed, text)
	if s.split && (logged == 0 || s.answered[deskAddress]*s.asked[floodAddress] <= s.answered[floodAddress]*s.asked[deskAddress]) {
		s.failf("%s", text)
	}
}
