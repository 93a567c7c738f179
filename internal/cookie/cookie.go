// Package cookie derives the flow cookie of a backend server. Both ends of a flow
// return the cookie in every packet, so that any instance that knows the backend
// servers finds the flow's one without state (Cheetah, NSDI 2020).
package cookie

import "github.com/zeebo/xxh3"

// None is the value of a packet that carries no cookie.
const None uint32 = 0

// Of returns the cookie of a backend server. It depends on the identity alone, so
// that a server that starts again keeps its cookie and itself resets the flows
// that it no longer holds.
func Of(server string) uint32 {
	folded := uint32(xxh3.HashString(server))
	if folded == None {
		return 1
	}
	return folded
}
