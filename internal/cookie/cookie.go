// Package cookie derives the flow cookie of a backend server. Both ends of a flow
// repeat the cookie in every packet, so that any instance that knows the backend
// servers finds the flow's server without per-flow state (Cheetah, NSDI 2020).
package cookie

import "github.com/zeebo/xxh3"

// None is the value in a packet that carries no cookie.
const None uint32 = 0

// Of returns the cookie of a backend server. It depends only on the server's
// identity, so that a server keeps its cookie across restarts and can itself reset
// flows that it no longer holds.
func Of(server string) uint32 {
	hash := uint32(xxh3.HashString(server))
	if hash == None {
		return 1
	}
	return hash
}
