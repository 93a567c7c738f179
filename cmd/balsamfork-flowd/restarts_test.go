package main

import (
	"syscall"
	"time"

	"balsamfork/platform/platformtest"
)

const (
	// restarts is the number of times that a server starts again under its id, crashTime how
	// long it is silent before.
	restarts  = 4
	crashTime = 100 * time.Millisecond
)

var pausedFault = "paused"

// restartServers lets servers of the sheets service crash and start again under their ids,
// cold, while an instance is paused. The limit of cold servers is checked at the end.
func (s *soakRun) restartServers() {
	for n := range restarts {
		paused := s.instances[s.random.IntN(len(s.instances))]
		paused.mu.Lock()
		paused.fault.Store(&pausedFault)
		_ = paused.process.Process.Signal(syscall.SIGSTOP)
		server := s.sheetsServer(n)
		server.Blackhole()
		time.Sleep(crashTime)
		server.Restart(warmupTime)
		s.store.Register(server)
		time.Sleep(warmupTime)
		_ = paused.process.Process.Signal(syscall.SIGCONT)
		paused.unlock()
	}
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
