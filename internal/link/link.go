package link

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
	"balsamfork/internal/peer"
)

// Options holds the settings of a Link.
type Options struct {
	Self   fleet.ID
	Listen netip.AddrPort
	// Listener, if set, is used instead of Listen. The Link closes it.
	Listener net.Listener
	// Keys provides the certificates; nil selects plain text.
	Keys *keys.Reloader
	// Resolve returns the control address of an instance.
	Resolve func(fleet.ID) (netip.AddrPort, bool)
}

// Link accepts connections from instances and operators, and maintains connections
// to the instances that it calls.
type Link struct {
	options Options
	log     *slog.Logger
	methods map[string]method
	peers   *peers
	refused tally.Counter

	mu       sync.Mutex
	listener net.Listener
	inbound  map[net.Conn]struct{}
	closed   bool
	stop     chan struct{}
	running  sync.WaitGroup
}

var (
	_ peer.Caller   = (*Link)(nil)
	_ peer.Registry = (*Link)(nil)
)

// New returns a Link that does not listen yet. It returns Refused if the keys do not
// belong to the instance Self.
func New(o Options, log *slog.Logger, scope tally.Scope) (*Link, error) {
	self := keys.Identity{Role: keys.Instance, Name: string(o.Self)}
	if o.Keys != nil && o.Keys.Identity() != self {
		holder := o.Keys.Identity()
		return nil, Refused.New("the certificate belongs to %s %q, not to instance %q", holder.Role, holder.Name, o.Self)
	}
	scope = scope.SubScope("link")
	return &Link{
		options: o,
		log:     log.With("part", "link"),
		methods: make(map[string]method),
		peers: &peers{
			byID:    make(map[fleet.ID]*peerConn),
			self:    self,
			keys:    o.Keys,
			resolve: o.Resolve,
			traffic: newByteCounters(scope),
		},
		refused: scope.Counter("connections_refused"),
		inbound: make(map[net.Conn]struct{}),
		stop:    make(chan struct{}),
	}, nil
}

// Handle registers a method that only instances may call. It must be called before
// Start.
func (l *Link) Handle(name string, h peer.Handler) {
	l.methods[name] = method{handler: h}
}

// HandleOperator registers a method that operators and instances may call. An
// operator is passed to the handler as its name with the prefix "operator/". It must
// be called before Start.
func (l *Link) HandleOperator(name string, h peer.Handler) {
	l.methods[name] = method{handler: h, allowOperator: true}
}

func (l *Link) listen() (net.Listener, error) {
	if l.options.Listener != nil {
		return l.options.Listener, nil
	}
	return net.Listen("tcp", l.options.Listen.String())
}

// Start begins to accept connections.
func (l *Link) Start() error {
	ln, err := l.listen()
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = ln
	l.mu.Unlock()
	l.running.Add(2)
	go l.accept(ln)
	go l.sweepEvery(idleTimeout / 4)
	return nil
}

// Addr returns the address that the Link listens on, or the zero AddrPort before
// Start.
func (l *Link) Addr() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return netip.AddrPort{}
	}
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops listening, closes all connections and waits for the goroutines of the
// Link.
func (l *Link) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.stop)
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for raw := range l.inbound {
		_ = raw.Close()
	}
	l.mu.Unlock()
	l.peers.close()
	l.running.Wait()
	return nil
}

// Call implements peer.Caller. If the context has no deadline, it waits for at most
// 5 seconds.
func (l *Link) Call(ctx context.Context, to fleet.ID, name string, params, result any) error {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	conn, err := l.peers.get(ctx, to)
	if err != nil {
		return err
	}
	return closeOnFailure(to, conn, conn.Call(ctx, name, params, result))
}

// Notify implements peer.Caller.
func (l *Link) Notify(ctx context.Context, to fleet.ID, name string, params any) error {
	conn, err := l.peers.get(ctx, to)
	if err != nil {
		return err
	}
	return closeOnFailure(to, conn, conn.Notify(ctx, name, params))
}

// closeOnFailure closes a connection that failed, so that the next call dials again.
// A call that only timed out or was cancelled does not close it.
func closeOnFailure(to fleet.ID, conn *jsonrpc2.Conn, err error) error {
	err = asUnreachable(to, err)
	contextEnded := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if peer.Unreachable.Has(err) && !contextEnded {
		_ = conn.Close()
	}
	return err
}

// asUnreachable returns errors sent by the instance unchanged and wraps all others as
// peer.Unreachable.
func asUnreachable(to fleet.ID, err error) error {
	var replyErr *jsonrpc2.Error
	if err == nil || errors.As(err, &replyErr) {
		return err
	}
	return peer.Unreachable.New("instance %q: %w", to, err)
}
