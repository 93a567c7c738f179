package app

// openSockets are the functions that close the sockets which components open when they
// are built.
type openSockets struct{ closers []func() }

func (s *openSockets) add(closer func()) { s.closers = append(s.closers, closer) }

// close closes the sockets of an instance that could not be built or started. Those that
// are closed already stay so.
func (s *openSockets) close() {
	for _, closer := range s.closers {
		closer()
	}
}
