package link

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/keys"
)

// traffic counts the bytes of the link below TLS.
type traffic struct {
	sent     tally.Counter
	received tally.Counter
}

func newTraffic(scope tally.Scope) traffic {
	return traffic{sent: scope.Counter("bytes_sent"), received: scope.Counter("bytes_received")}
}

// guarded bounds how long a write may block and a read may stay idle.
type guarded struct {
	net.Conn
	count traffic
}

func (g guarded) Write(b []byte) (int, error) {
	if err := g.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := g.Conn.Write(b)
	g.count.sent.Inc(int64(n))
	return n, err
}

func (g guarded) Read(b []byte) (int, error) {
	if err := g.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := g.Conn.Read(b)
	g.count.received.Inc(int64(n))
	return n, err
}

// dial opens a connection to the instance named peer, or to any if it is empty.
// Without keys it is in plain text and says who it is.
func dial(ctx context.Context, to netip.AddrPort, peer string, self keys.Identity, k *keys.Reloader, count traffic) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	var stream net.Conn = guarded{Conn: raw, count: count}
	if k == nil {
		return openPlain(stream, self)
	}
	secure := tls.Client(stream, k.ClientConfig(peer))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newConn(secure, refuseAll{}), nil
}

func openPlain(stream net.Conn, self keys.Identity) (*jsonrpc2.Conn, error) {
	conn := newConn(stream, refuseAll{})
	if err := conn.Notify(context.Background(), helloMethod, self); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func newConn(stream io.ReadWriteCloser, h jsonrpc2.Handler) *jsonrpc2.Conn {
	objects := jsonrpc2.NewBufferedStream(stream, codec{limit: MaxFrame})
	silent := log.New(io.Discard, "", 0)
	return jsonrpc2.NewConn(context.Background(), objects, h, jsonrpc2.SetLogger(silent))
}

// refuseAll answers the calls that come in on a connection that was dialled.
type refuseAll struct{}

func (refuseAll) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
		Code:    jsonrpc2.CodeMethodNotFound,
		Message: "no calls on this connection",
	})
}
