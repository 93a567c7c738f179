package forward

import (
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/flow"
)

// Forwarder runs the packet path.
type Forwarder struct {
	config        Config
	decider       flow.Decider
	isInstance    func(netip.AddrPort) bool
	log           *slog.Logger
	clock         func() int64
	fragmentTable *fragmentTable
	reporter      *reporter
	workers       []*worker
	running       sync.WaitGroup
	ticker        *time.Ticker
	stop          chan struct{}
	stopOnce      sync.Once
}

// New returns a Forwarder whose sockets are open but not yet read. isInstance reports
// whether an address is the packet address of an instance. It is called for each
// packet that carries steering, and must be safe for concurrent use and neither block
// nor allocate.
func New(
	config Config, decider flow.Decider, isInstance func(netip.AddrPort) bool, log *slog.Logger, scope tally.Scope,
) (*Forwarder, error) {
	f := &Forwarder{
		config:        config,
		decider:       decider,
		isInstance:    isInstance,
		log:           log.With("part", "forward"),
		clock:         func() int64 { return time.Now().UnixNano() },
		fragmentTable: &fragmentTable{},
		reporter:      newReporter(scope),
		stop:          make(chan struct{}),
	}
	conns, err := listen(config.Listen, max(config.Workers, 1))
	if err != nil {
		return nil, err
	}
	for _, conn := range conns {
		w, err := newWorker(f, conn)
		if err != nil {
			closeAll(conns)
			return nil, err
		}
		f.workers = append(f.workers, w)
	}
	return f, nil
}

// Addr returns the address that the Forwarder listens on.
func (f *Forwarder) Addr() netip.AddrPort {
	return f.workers[0].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Start starts the workers and the metrics reports.
func (f *Forwarder) Start() {
	f.log.Info("Started forwarding packets.", "address", f.Addr(), "workers", len(f.workers))
	for _, w := range f.workers {
		f.running.Go(w.run)
	}
	f.ticker = time.NewTicker(reportInterval)
	f.running.Go(f.report)
}

func (f *Forwarder) report() {
	defer f.ticker.Stop()
	for {
		select {
		case <-f.ticker.C:
			f.reporter.report(f.Totals())
		case <-f.stop:
			return
		}
	}
}

// Totals returns the sums of the counters of all workers.
func (f *Forwarder) Totals() Totals {
	var t Totals
	for _, w := range f.workers {
		w.addTo(&t)
	}
	return t
}

// Close forwards the packets already received, then closes the sockets. The
// fabric should have stopped sending to this instance before Close is called.
func (f *Forwarder) Close() error {
	f.shutDown(func(conn *net.UDPConn) { _ = conn.SetReadDeadline(time.Now().Add(drainTimeout)) })
	f.log.Info("Stopped forwarding packets.", "received", f.Totals().Received)
	return nil
}

// Abort closes the sockets at once and discards packets not yet read.
func (f *Forwarder) Abort() {
	f.shutDown(func(conn *net.UDPConn) { _ = conn.Close() })
}

// shutDown stops the workers by calling interrupt on each socket, waits for them,
// reports the final totals and closes the sockets. Concurrent and later calls only
// wait for the first to finish.
func (f *Forwarder) shutDown(interrupt func(*net.UDPConn)) {
	f.stopOnce.Do(func() {
		close(f.stop)
		for _, w := range f.workers {
			interrupt(w.conn)
		}
		f.running.Wait()
		f.reporter.report(f.Totals())
		for _, w := range f.workers {
			_ = w.conn.Close()
		}
	})
}
