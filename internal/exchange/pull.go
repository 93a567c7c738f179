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

// announcement is a position that a peer has announced without usable changes.
type announcement struct {
	from     Peer
	position catalogue.Position
	// relay asks for the announcement to be passed on within the data centre.
	relay bool
}

// pull requests the changes that lead to an announced position. Only one pull runs at a
// time: changes that it misses are announced by the next digest.
func (e *Exchange) pull(a announcement) {
	if !e.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.pulling.Store(false)
		e.pullFromTree(a)
		if e.lacks(a) {
			e.pullFrom(a.from.Address, a)
		}
		if a.relay && !e.lacks(a) {
			e.relayPulled()
		}
	}()
}

// lacks reports whether this instance has not reached an announced position yet.
func (e *Exchange) lacks(a announcement) bool {
	return e.Mirror.Snapshot().Position.Compare(a.position) < 0
}

// pullFromTree waits for its turn in the tree of pulls of the data centre and pulls from
// its parent there. The parent may not have the revision yet, so it is asked a second
// time. An announcement of another data centre is not pulled through a tree, nor is the
// first catalogue of an instance: flows wait for it.
func (e *Exchange) pullFromTree(a announcement) {
	if a.from.DataCentre != e.DataCentre || e.Mirror.Snapshot().Revision == 0 {
		return
	}
	parent, depth := pullTree(e.peers.self.Address, a.from.Address, append(e.peers.local(), e.peers.self.Address, a.from.Address))
	if parent == a.from.Address {
		return
	}
	for _, wait := range []time.Duration{time.Duration(depth-1) * pullStep, pullStep} {
		if !e.sleep(wait) || !e.lacks(a) || !e.pullFrom(parent, a) || !e.lacks(a) {
			return
		}
	}
}

// sleep waits, and returns false if the exchange is closed first.
func (e *Exchange) sleep(d time.Duration) bool {
	select {
	case <-e.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// pullFrom pulls from one peer, and reports whether the peer has answered.
func (e *Exchange) pullFrom(from netip.Addr, a announcement) bool {
	e.metrics.pulls.Inc(1)
	err := e.fetchChanges(from, a)
	if err != nil {
		e.metrics.pullsFailed.Inc(1)
		e.Log.Warn("Failed to pull changes from a peer.", "peer", from.String(), "error", err)
	}
	return err == nil
}

// relayPulled passes an announcement on within the data centre, now that the others can
// pull the changes from this instance.
func (e *Exchange) relayPulled() {
	e.metrics.relays.Inc(1)
	e.sendAll(e.digest(), e.peers.local())
}

func (e *Exchange) fetchChanges(from netip.Addr, a announcement) error {
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
	after := e.Mirror.Snapshot().Position
	params := sinceParams{Epoch: after.Epoch, Revision: after.Revision, Complete: after.Epoch != a.position.Epoch || e.needsComplete(startedAt)}
	if err := conn.Call(ctx, methodSince, params, &result); err != nil {
		return Error.Wrap(err)
	}
	if len(result.Delta) == 0 {
		return nil
	}
	var delta catalogue.Delta
	if err := decode(result.Delta, &delta); err != nil {
		return err
	}
	age := time.Duration(result.AgeMS)*time.Millisecond + time.Duration(e.Clock()-startedAt)
	e.Catalogue.ApplyDelta(delta, age)
	return nil
}

// outdatedAge is the age of the catalogue from which the complete one is pulled if a peer
// does not know the changes. An instance that can read the store has read it by then,
// which takes one call in place of the whole catalogue.
const outdatedAge = 2500 * time.Millisecond

// needsComplete reports whether this instance needs the complete catalogue from a peer
// that does not know the changes since its own.
func (e *Exchange) needsComplete(now int64) bool {
	known, _ := e.Catalogue.Known()
	return known == 0 || now-known > int64(outdatedAge)
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
	e.metrics.pullsAnswered.Inc(1)
	after := catalogue.Position{Epoch: params.Epoch, Revision: params.Revision}
	if params.Revision != 0 && !params.Complete && !e.Mirror.HasChangesSince(after) {
		return sinceResult{}, nil
	}
	a, err := e.answerCache.answer(after, e.Mirror.Snapshot().Position, e.Clock(), e.encodeSince)
	if err != nil {
		return nil, err
	}
	return sinceResult{Delta: a.delta, AgeMS: (e.Clock() - a.known) / int64(time.Millisecond)}, nil
}

// encodeSince encodes the changes after a position, and returns the time as of which
// they are valid, in nanoseconds.
func (e *Exchange) encodeSince(after catalogue.Position) (delta []byte, known int64, err error) {
	known, _ = e.Catalogue.Known()
	delta, err = encode(e.Mirror.Since(after, known))
	return delta, known, err
}

// ignoreRequests is the handler of a connection on which only this side sends
// requests.
type ignoreRequests struct{}

func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
