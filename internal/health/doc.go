// Package health decides which backend servers may be given new work. It is a
// table of backend servers and the systems that run over it each tick; it does
// no I/O and reads no clock.
//
// Two instances of a backend server's data centre probe it, chosen by rendezvous
// hashing (Thaler and Ravishankar, 1998). The first of them is its keeper and
// alone announces its condition. It finds a backend server down when its own
// probes and another instance agree, and nobody has just had an answer from it:
// what traffic shows goes before what the endpoint says. A service is never left
// with more than half of its backend servers down by our word: beyond that the
// probers are doubted rather than the servers. A backend server that comes back
// is cold first, and waits longer each time it has failed in short succession.
package health
