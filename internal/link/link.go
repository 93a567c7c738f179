package link

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/fleet"
	"balsamfork/internal/keys"
	"balsamfork/internal/peer"
)

// Options are the settings of a Link.
type Options struct {
	Self   fleet.ID
	Listen netip.AddrPort
	// Listener, if set, is used in place of Listen. The link closes it.
	Listener net.Listener
	// Keys are the certificates; nil means plain text.
	Keys *keys.Reloader
	// Resolve returns the control address of an instance.
	Resolve func(fleet.ID) (netip.AddrPort, bool)
}

// Link accepts connections from instances and operators, and keeps connections
// to the instances that it calls.
type Link struct {
	options Options
	log     *slog.Logger
	methods map[string]method
	remotes *remotes
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

// New makes a link that does not listen yet. It refuses keys that belong to
// another holder than Self.
func New(o Options, log *slog.Logger, scope tally.Scope) (*Link, error) {
	self := keys.Identity{Role: keys.Instance, Name: string(o.Self)}
	if o.Keys != nil && o.Keys.Identity() != self {
		held := o.Keys.Identity()
		return nil, Refused.New("the certificate belongs to %s %q, not to instance %q", held.Role, held.Name, o.Self)
	}
	scope = scope.SubScope("link")
	return &Link{
		options: o,
		log:     log.With("part", "link"),
		methods: make(map[string]method),
		remotes: &remotes{
			byID:    make(map[fleet.ID]*remote),
			self:    self,
			keys:    o.Keys,
			resolve: o.Resolve,
			count:   newTraffic(scope),
		},
		refused: scope.Counter("connections_refused"),
		inbound: make(map[net.Conn]struct{}),
		stop:    make(chan struct{}),
	}, nil
}

// Handle registers a method for instances. It must be called before Start.
func (l *Link) Handle(name string, h peer.Handler) {
	l.methods[name] = method{handler: h}
}

// HandleOperator registers a method for operators as well as instances. The
// handler knows them apart by Sender. It must be called before Start.
func (l *Link) HandleOperator(name string, h peer.Handler) {
	l.methods[name] = method{handler: h, operator: true}
}

func (l *Link) listen() (net.Listener, error) {
	if l.options.Listener != nil {
		return l.options.Listener, nil
	}
	return net.Listen("tcp", l.options.Listen.String())
}

// Start listens.
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

// Addr returns the address that the link listens on, after Start.
func (l *Link) Addr() netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		return netip.AddrPort{}
	}
	return l.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close stops listening, closes every connection and waits for its goroutines.
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
	l.remotes.sweep(time.Now().Add(time.Hour))
	l.running.Wait()
	return nil
}

// Call implements peer.Caller. Without a deadline in the context it waits for
// five seconds at most.
func (l *Link) Call(ctx context.Context, to fleet.ID, name string, params, result any) error {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTimeout)
		defer cancel()
	}
	conn, err := l.remotes.get(ctx, to)
	if err != nil {
		return err
	}
	return finish(to, conn, conn.Call(ctx, name, params, result))
}

// Notify implements peer.Caller.
func (l *Link) Notify(ctx context.Context, to fleet.ID, name string, params any) error {
	conn, err := l.remotes.get(ctx, to)
	if err != nil {
		return err
	}
	return finish(to, conn, conn.Notify(ctx, name, params))
}

// finish closes a connection that failed, so that the next call dials.
func finish(to fleet.ID, conn *jsonrpc2.Conn, err error) error {
	err = asUnreachable(to, err)
	waited := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	if peer.Unreachable.Has(err) && !waited {
		_ = conn.Close()
	}
	return err
}

// asUnreachable leaves an answered error as it is and classes all others.
func asUnreachable(to fleet.ID, err error) error {
	var answered *jsonrpc2.Error
	if err == nil || errors.As(err, &answered) {
		return err
	}
	return peer.Unreachable.New("instance %q: %w", to, err)
}
