package flowd

import (
	"errors"
	"io"
)

// openSockets are the components that open sockets when they are built, in that order.
type openSockets struct{ opened []io.Closer }

func (s *openSockets) add(c io.Closer) { s.opened = append(s.opened, c) }

// close closes them, for an instance that could not be built or started. It returns the
// errors of those that were closed already as well.
func (s *openSockets) close() error {
	var all error
	for _, c := range s.opened {
		all = errors.Join(all, c.Close())
	}
	return all
}
