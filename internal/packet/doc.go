// Package packet decodes GRE-in-UDP packets (RFC 8086) into the summaries that flow
// decisions are based on, and writes the outer GRE header of outgoing packets.
// Between instances the key field of that header (RFC 2890) carries the steering.
// Decoding and encoding do not allocate for ordinary packets. The package does no
// I/O.
package packet
