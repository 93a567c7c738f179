package link

import (
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
)

// A connection from an instance resets its redial backoff; one from an operator of
// the same name does not.
func TestIncomingConnectionResetsBackoff(t *testing.T) {
	is := is.New(t)
	l := &Link{peers: &peers{byID: make(map[fleet.ID]*peerConn)}}
	unreachable, other := l.peers.entry("gone"), l.peers.entry("other")
	for range 10 {
		l.peers.extendBackoff(unreachable)
		l.peers.extendBackoff(other)
	}
	is.True(l.peers.inBackoff(unreachable))
	s := &session{link: l}
	s.setIdentity(keys.Identity{Role: keys.Operator, Name: "gone"})
	is.True(l.peers.inBackoff(unreachable))
	s.setIdentity(keys.Identity{Role: keys.Instance, Name: "gone"})
	is.True(!l.peers.inBackoff(unreachable))
	is.True(l.peers.inBackoff(other))
}
