package forward

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("forward")

const (
	// batchSize is how many packets one system call reads or writes at most.
	batchSize = 64
	// maxPacket is the largest UDP payload that is taken, in bytes: a jumbo
	// frame. Larger ones count as malformed.
	maxPacket = 9216
	// socketBuffer is the size asked for the receive buffer of each socket, in
	// bytes. The system may grant less.
	socketBuffer = 4 << 20
	// drainTime is how long Close goes on reading what has already arrived.
	drainTime = 20 * time.Millisecond
	// reportInterval is the time between two reports of metrics.
	reportInterval = time.Second
)

// Config says where a Forwarder listens and whom it trusts.
type Config struct {
	// Listen is the address for packets. Port 0 takes a free one.
	Listen netip.AddrPort
	// Workers is the number of sockets and goroutines; zero means one.
	Workers int
	// Gather names the instance that remembers where the fragments of a packet
	// go, by the hash of what they share; false means this instance. It must be
	// the same on all instances, safe for concurrent use, and not block. Nil
	// means always this instance.
	Gather func(hash uint64) (netip.AddrPort, bool)
}
