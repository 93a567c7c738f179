// Package forward is the packet path of an instance. It reads batches of GRE in
// UDP from one socket per worker, asks a flow.Decider about each packet, and
// sends it on to a backend server or another instance. Ordinary packets cost no
// allocation and take no lock; fragments share a bounded table.
package forward
