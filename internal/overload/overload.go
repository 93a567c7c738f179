// Package overload decides what happens to new flows where a service runs out of room:
// which service of a route takes a flow, which flows are refused, and which go to other data
// centres. Decisions are pure: the package does no I/O and reads no clock.
package overload
