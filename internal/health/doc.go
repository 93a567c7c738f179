// Package health decides which backend servers may receive new work. It consists
// of a table of backend servers and of functions that process it on each tick; it
// does no I/O and reads no clock.
//
// Each backend server is probed by two instances of its data centre, chosen by
// rendezvous hashing (Thaler and Ravishankar, 1998). The first of them is its
// primary prober, the only one that announces its condition. It announces a backend
// server down when its own probes and another instance agree, and no instance has
// just had an answer from it: evidence from traffic takes precedence over the
// health endpoint. No more than half of the backend servers of a service are kept
// announced down: beyond that, a fault of the probers is more likely than one of
// the servers. A backend server that recovers is cold first, and the minimum time
// for which it is down grows with each recent failure.
package health
