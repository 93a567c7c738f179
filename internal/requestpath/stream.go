package requestpath

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/zeebo/errs"

	"balsamfork/internal/request"
)

// FrameError is the class of errors for a message over request.MaxFrameBytes.
var FrameError = errs.Class("requestpath: frame")

// limitedConn bounds how much is read for one message.
type limitedConn struct {
	net.Conn
	left int
}

func (c *limitedConn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, FrameError.New("%s: over %d bytes", c.RemoteAddr(), request.MaxFrameBytes)
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// writeFor bounds the time that the other side may take to read a message.
const writeFor = 5 * time.Second

// Write sends within writeFor.
func (c *limitedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeFor)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// limitedStream reads plain JSON-RPC objects of bounded size.
type limitedStream struct {
	jsonrpc2.ObjectStream
	conn *limitedConn
}

func newStream(c net.Conn) jsonrpc2.ObjectStream {
	l := &limitedConn{Conn: c}
	return &limitedStream{ObjectStream: jsonrpc2.NewPlainObjectStream(l), conn: l}
}

// ReadObject reads one object. It returns FrameError if the object is too large.
func (s *limitedStream) ReadObject(v any) error {
	s.conn.left = request.MaxFrameBytes
	return s.ObjectStream.ReadObject(v)
}

// rpcLog hands the library's log lines to slog.
type rpcLog struct{ log *slog.Logger }

func (l rpcLog) Printf(format string, v ...any) {
	l.log.Debug("JSON-RPC connection reported a fault", "format", format, "values", v)
}

func newConn(ctx context.Context, c net.Conn, h jsonrpc2.Handler, log *slog.Logger, opts ...jsonrpc2.ConnOpt) *jsonrpc2.Conn {
	opts = append(opts, jsonrpc2.SetLogger(rpcLog{log}))
	return jsonrpc2.NewConn(ctx, newStream(c), h, opts...)
}
