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

// limitedConn bounds the bytes that are read for one message.
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

// writeTimeout bounds the time that one write of a message may block.
const writeTimeout = 5 * time.Second

// Write writes with a deadline of writeTimeout.
func (c *limitedConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// limitedStream is a stream of plain JSON-RPC objects that bounds the size of those
// it reads.
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

// rpcLogger forwards log output of the jsonrpc2 library to slog.
type rpcLogger struct{ log *slog.Logger }

func (l rpcLogger) Printf(format string, v ...any) {
	l.log.Debug("JSON-RPC connection reported an error", "format", format, "values", v)
}

func newConn(ctx context.Context, c net.Conn, h jsonrpc2.Handler, log *slog.Logger, opts ...jsonrpc2.ConnOpt) *jsonrpc2.Conn {
	opts = append(opts, jsonrpc2.SetLogger(rpcLogger{log}))
	return jsonrpc2.NewConn(ctx, newStream(c), h, opts...)
}
