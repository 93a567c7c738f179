// Package cookie derives the flow cookie of a backend server. An instance writes the
// cookie into the opening packet of a flow and both ends repeat it in every later
// packet, so that any instance that knows the backend servers finds the flow's server
// without per-flow state (Cheetah, NSDI 2020).
package cookie

import "github.com/zeebo/xxh3"

// None is the value in a packet that carries no cookie.
const None uint32 = 0

// Of returns the cookie of the backend server with the given name. The cookie is never
// None and depends only on the name, so that a restarted server keeps it, still
// receives packets of flows that it no longer holds and can reset them itself.
func Of(name string) uint32 {
	hash := uint32(xxh3.HashString(name))
	if hash == None {
		return 1
	}
	return hash
}
