package main

import (
	"bufio"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"time"

	"balsamfork/platform/platformtest"
)

const (
	// verdictTime is how long everything must be served once recoveryTime has passed.
	verdictTime = 2 * time.Second
	// maxVerdicts bounds the attempts to get a verdict while the machine has no time for
	// the instances.
	maxVerdicts = 4
	// logDelay is the time within which an instance logs a pause that a fault has caused.
	logDelay = 500 * time.Millisecond
	// pauseMessage is the message that an instance logs when it was not scheduled for a
	// while.
	pauseMessage = "Discarded messages that waited during a pause."
)

// checkRecovery checks that everything is served from recoveryTime after the last fault
// on. A time in which instances were not scheduled gives no verdict: it counts as a
// further fault, after which they recover again.
func (s *soakRun) checkRecovery(callers []*platformtest.Caller) {
	for n := range maxVerdicts {
		s.recordDisturbance()
		from := time.Now().Add(logDelay)
		time.Sleep(recoveryTime)
		s.mustServe.Store(true)
		time.Sleep(verdictTime)
		for _, caller := range callers {
			s.checkRoutes(caller)
		}
		s.mustServe.Store(false)
		starved := s.instancesPausedSince(from)
		if len(starved) == 0 {
			return
		}
		s.t.Logf("no verdict in attempt %d: not scheduled for a while: %s", n+1, strings.Join(starved, ", "))
		if n+1 < maxVerdicts {
			s.dropUnserved()
		}
	}
	s.failf("no verdict: instances were not scheduled in any of %d attempts", maxVerdicts)
}

// unservedf records that something was not served although it must be.
func (s *soakRun) unservedf(format string, args ...any) {
	s.failf(unservedPrefix+format, args...)
}

// unservedPrefix marks the failures that need a verdict.
const unservedPrefix = "after the faults: "

// dropUnserved drops the failures of an attempt that gives no verdict.
func (s *soakRun) dropUnserved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept []string
	for _, text := range s.failures {
		if !strings.HasPrefix(text, unservedPrefix) {
			kept = append(kept, text)
		}
	}
	s.failures = kept
}

// instancesPausedSince returns the names of the instances that have logged a pause since
// the given time.
func (s *soakRun) instancesPausedSince(from time.Time) []string {
	var names []string
	for _, i := range s.instances {
		if s.pausedSince(i, from) {
			names = append(names, i.name)
		}
	}
	return names
}

func (s *soakRun) pausedSince(i *instance, from time.Time) bool {
	return slices.ContainsFunc(s.readLog(i), func(l logLine) bool { return l.Message == pauseMessage && l.Time.After(from) })
}

// logLine is a line of an instance's log.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	// Source is where a change of the catalogue came from.
	Source string `json:"source"`
}

// readLog returns the lines of an instance's log.
func (s *soakRun) readLog(i *instance) (lines []logLine) {
	file, err := os.Open(i.log)
	s.must(err)
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		var line logLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil {
			lines = append(lines, line)
		}
	}
	return lines
}
