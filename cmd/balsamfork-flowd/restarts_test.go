package main

import (
	"syscall"
	"time"

	"balsamfork/platform/platformtest"
)

const (
	// restarts is the number of times that a server starts again under its id, and crashTime
	// how long it is silent before.
	restarts  = 2
	crashTime = 10 * time.Millisecond
	// readTime is how long the regular reader may take to read a change that is not urgent,
	// and readerChangeTime how long the fleet has to settle after its regular reader was
	// paused.
	readTime         = 700 * time.Millisecond
	readerChangeTime = 4 * time.Second
	// changeMessage is the message that an instance logs for a change of its catalogue.
	changeMessage = "Catalogue changed."
)

// restartServers lets servers of the sheets service crash and start again under their ids,
// cold, while the instance that last read the store is paused. The limit of cold servers is
// checked at the end.
func (s *soakRun) restartServers() {
	for n := range restarts {
		reader := s.lastReader()
		reader.mu.Lock()
		kind := "paused"
		reader.fault.Store(&kind)
		_ = reader.process.Process.Signal(syscall.SIGSTOP)
		server := s.sheetsServer(n)
		server.Blackhole()
		time.Sleep(crashTime)
		server.Restart(warmupTime)
		s.store.Register(server)
		time.Sleep(warmupTime)
		_ = reader.process.Process.Signal(syscall.SIGCONT)
		reader.unlock()
		time.Sleep(readerChangeTime)
	}
}

// lastReader changes the configuration and returns the instance that reads the change from
// the store.
func (s *soakRun) lastReader() *instance {
	s.reconfigure(fault{})
	time.Sleep(readTime)
	var last time.Time
	reader := s.instances[0]
	for _, i := range s.instances {
		for _, l := range s.readLog(i) {
			if l.Message == changeMessage && l.Source == "store" && l.Time.After(last) {
				last, reader = l.Time, i
			}
		}
	}
	return reader
}

// sheetsServer returns the n-th server of the sheets service, counted in a circle.
func (s *soakRun) sheetsServer(n int) *platformtest.Server {
	var sheets []*platformtest.Server
	for _, server := range s.liveServers() {
		if server.Entry.Service == "sheets" {
			sheets = append(sheets, server)
		}
	}
	return sheets[n%len(sheets)]
}
