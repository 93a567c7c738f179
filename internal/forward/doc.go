// Package forward implements the packet path of an instance. Each worker reads
// batches of GRE-in-UDP packets from its own socket, asks a flow.Decider for a
// verdict on each packet and forwards it to a backend server or another instance.
// Unfragmented packets are handled without allocations or locks; the workers share
// a fragment table of fixed size.
package forward
