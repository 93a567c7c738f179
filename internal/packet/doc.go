// Package packet decodes GRE in UDP (RFC 8086) into the summaries that flow
// decisions are made on, and writes the outer GRE header of the packets that go
// out. Between instances the header's key field (RFC 2890) carries the steering.
// Decoding and encoding allocate nothing for ordinary packets. It does no I/O.
package packet
