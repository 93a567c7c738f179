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

// byteCounters counts the bytes sent and received on the wire, including the overhead
// of TLS.
type byteCounters struct {
	sent     tally.Counter
	received tally.Counter
}

func newByteCounters(scope tally.Scope) byteCounters {
	return byteCounters{sent: scope.Counter("bytes_sent"), received: scope.Counter("bytes_received")}
}

// deadlineConn is a connection with a timeout for each write and an idle timeout for
// reads. It counts the bytes transferred.
type deadlineConn struct {
	net.Conn
	traffic byteCounters
}

func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.traffic.sent.Inc(int64(n))
	return n, err
}

func (c deadlineConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.traffic.received.Inc(int64(n))
	return n, err
}

// dial opens a connection to the instance named peer, or to any instance if peer is
// empty. If k is nil, the connection is in plain text and begins with a hello that
// states the identity self.
func dial(ctx context.Context, to netip.AddrPort, peer string, self keys.Identity, k *keys.Reloader, traffic byteCounters) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	var stream net.Conn = deadlineConn{Conn: raw, traffic: traffic}
	if k == nil {
		return openPlain(stream, self)
	}
	secure := tls.Client(stream, k.ClientConfig(peer))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return newConn(secure, rejectCalls{}), nil
}

func openPlain(stream net.Conn, self keys.Identity) (*jsonrpc2.Conn, error) {
	conn := newConn(stream, rejectCalls{})
	if err := conn.Notify(context.Background(), helloMethod, self); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func newConn(stream io.ReadWriteCloser, h jsonrpc2.Handler) *jsonrpc2.Conn {
	objects := jsonrpc2.NewBufferedStream(stream, codec{limit: MaxFrame})
	discardLog := log.New(io.Discard, "", 0)
	return jsonrpc2.NewConn(context.Background(), objects, h, jsonrpc2.SetLogger(discardLog))
}

// rejectCalls rejects calls received on an outgoing connection.
type rejectCalls struct{}

func (rejectCalls) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{
		Code:    jsonrpc2.CodeMethodNotFound,
		Message: "no calls on this connection",
	})
}
