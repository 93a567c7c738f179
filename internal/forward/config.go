package forward

import (
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("forward")

const (
	// batchSize is the maximum number of packets read or written per system call.
	batchSize = 64
	// maxPacketSize is the maximum UDP payload in bytes, sized for jumbo frames.
	// Larger packets are counted as malformed.
	maxPacketSize = 9216
	// socketBufferSize is the requested size of each socket's receive buffer, in
	// bytes. The kernel may grant less.
	socketBufferSize = 4 << 20
	// drainTimeout is how long Close keeps reading packets already received.
	drainTimeout = 20 * time.Millisecond
	// reportInterval is the interval between metrics reports.
	reportInterval = time.Second
)

// Config holds the settings of a Forwarder.
type Config struct {
	// Listen is the packet address. Port 0 selects a free port.
	Listen netip.AddrPort
	// Workers is the number of workers, each with its own socket; zero means one.
	Workers int
	// FragmentOwner returns the address of the instance that handles all fragments of
	// a packet, given the hash of their FragmentKey, or false if that is this
	// instance. All instances must compute the same result. It must be safe for
	// concurrent use and not block. If nil, this instance handles all fragments
	// that it receives.
	FragmentOwner func(hash uint64) (netip.AddrPort, bool)
}
