package exchange

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/catalogue"
)

const (
	// pullTimeout bounds a pull, including the time to connect.
	pullTimeout = 800 * time.Millisecond
	// serveTimeout bounds a peer's connection.
	serveTimeout = 3 * time.Second
)

// pull requests the changes that this instance lacks from a peer. Only one pull runs
// at a time: changes that it misses are announced by the next digest.
func (e *Exchange) pull(from netip.Addr) {
	if !e.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.pulling.Store(false)
		e.metrics.pulls.Inc(1)
		if err := e.fetchChanges(from); err != nil {
			e.metrics.pullsFailed.Inc(1)
			e.Log.Warn("Failed to pull changes from a peer.", "peer", from.String(), "error", err)
		}
	}()
}

func (e *Exchange) fetchChanges(from netip.Addr) error {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	var dialer net.Dialer
	stream, err := dialer.DialContext(ctx, "tcp4", netip.AddrPortFrom(from, e.Listen.Port()).String())
	if err != nil {
		return Error.Wrap(err)
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(stream, jsonrpc2.VarintObjectCodec{}), ignoreRequests{})
	defer func() { _ = conn.Close() }()
	var result sinceResult
	startedAt := e.Clock()
	if err := conn.Call(ctx, methodSince, sinceParams{Revision: e.Mirror.Snapshot().Revision}, &result); err != nil {
		return Error.Wrap(err)
	}
	var delta catalogue.Delta
	if err := decode(result.Delta, &delta); err != nil {
		return err
	}
	age := time.Duration(result.AgeMS)*time.Millisecond + time.Duration(e.Clock()-startedAt)
	e.Catalogue.ApplyDelta(delta, age)
	return nil
}

// Serve answers peers' pulls until the exchange is closed.
func (e *Exchange) Serve() {
	for {
		stream, err := e.server.Accept()
		if err != nil {
			return
		}
		go e.serve(stream)
	}
}

func (e *Exchange) serve(stream net.Conn) {
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(stream, jsonrpc2.VarintObjectCodec{}),
		jsonrpc2.HandlerWithError(e.answer))
	<-conn.DisconnectNotify()
}

func (e *Exchange) answer(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != methodSince {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var params sinceParams
	if r.Params == nil || json.Unmarshal(*r.Params, &params) != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "revision: must be a number"}
	}
	a, err := e.answerCache.answer(params.Revision, e.Mirror.Snapshot().Revision, e.Clock(), e.encodeSince)
	if err != nil {
		return nil, err
	}
	return sinceResult{Delta: a.delta, AgeMS: (e.Clock() - a.known) / int64(time.Millisecond)}, nil
}

// encodeSince encodes the changes after a revision, and returns the time as of which
// they are valid, in nanoseconds.
func (e *Exchange) encodeSince(revision uint64) (delta []byte, known int64, err error) {
	known, _ = e.Catalogue.Known()
	delta, err = encode(e.Mirror.Since(revision, known))
	return delta, known, err
}

// ignoreRequests is the handler of a connection on which only this side sends
// requests.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
