package link

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
)

// An instance that was unreachable for long and now calls may be dialled at once.
func TestCallerIsNotWaitedFor(t *testing.T) {
	is := is.New(t)
	l := &Link{remotes: &remotes{byID: make(map[fleet.ID]*remote)}}
	gone, other := l.remotes.entry("gone"), l.remotes.entry("other")
	for range 10 {
		l.remotes.putOff(gone)
		l.remotes.putOff(other)
	}
	is.True(l.remotes.mustWait(gone))
	s := &session{link: l}
	s.know(keys.Identity{Role: keys.Operator, Name: "gone"})
	is.True(l.remotes.mustWait(gone))
	s.know(keys.Identity{Role: keys.Instance, Name: "gone"})
	is.True(!l.remotes.mustWait(gone))
	is.True(l.remotes.mustWait(other))
}
