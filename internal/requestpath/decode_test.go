package requestpath

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/uber-go/tally/v4"

	"balsamfork/internal/admission"
	"balsamfork/internal/fleet"
	"balsamfork/internal/peer"
	"balsamfork/internal/request"
)

// noPeers is a link on which no other instance can be reached.
type noPeers struct{}

func (noPeers) Call(context.Context, fleet.ID, string, any, any) error {
	return peer.Unreachable.New("")
}

func (noPeers) Notify(context.Context, fleet.ID, string, any) error { return peer.Unreachable.New("") }

func (noPeers) Handle(string, peer.Handler) {}

// FuzzPeerMessages passes arbitrary bytes to the handler of every method between
// instances: none may panic.
func FuzzPeerMessages(f *testing.F) {
	f.Add([]byte(`{"copy":{"from":{"id":"i","incarnation":1},"seq":1},"request":{"key":{"id":"k","created":1},"service":"s","method":"m","deadline":1,"repeatable":true}}`))
	f.Add([]byte(`{"id":{"owner":{"id":"i"},"seq":1},"server":1,"deadline":9,"request":{"key":{"id":"k","created":1},"service":"s","method":"m","deadline":1}}`))
	f.Add([]byte(`{"high":1,"low":2,"created":-5,"claimant":{"seq":1}}`))
	f.Add([]byte(`{"holder":{"id":"i"},"servers":[1,2],"sentAt":1}`))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		p := New(Options{Self: "i", DataCentre: "a", Region: "r"}, noPeers{}, noPeers{}, slog.New(slog.NewTextHandler(io.Discard, nil)), tally.NoopScope)
		defer p.Close()
		for _, h := range []peer.Handler{p.handleRun, p.handleDrop, p.handleClaim, p.handleAdmit, p.handleStop, p.handleHold, p.handleRelease, p.handleResult, p.handleOutcome} {
			_, _ = h(context.Background(), "j", raw)
		}
	})
}

// FuzzServerAnswer makes a backend server reply with arbitrary bytes: the result is
// valid, and it is Answered only if the reply names the attempt.
func FuzzServerAnswer(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":"i/0/1","result":{"attempt":"i/0/1","value":1}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":"i/0/1","error":{"code":-32050,"message":"","data":{"attempt":"i/0/1"}}}`))
	f.Add([]byte(`{"jsonrpc":"2.0","id":"i/0/1","result":{"attempt":"i/0/2","value":1}}`))
	f.Add([]byte(`[{"id":"i/0/1","result":null}]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		local, remote := net.Pipe()
		go func() {
			_, _ = remote.Read(make([]byte, 4096))
			_, _ = remote.Write(raw)
			remote.Close()
		}()
		ctx := context.Background()
		s := newServerPools(ctx, nil, newClock(), slog.New(slog.NewTextHandler(io.Discard, nil)), newMetrics(tally.NoopScope))
		conn := newConn(ctx, local, discardHandler{}, s.log, jsonrpc2.OnRecv(s.countLate))
		defer conn.Close()
		a := admission.Attempt{Deadline: time.Now().Add(time.Second).UnixNano(), Request: &request.Request{Method: "m"}}
		a.ID.Owner.ID, a.ID.Seq = "i", 1
		r := s.exchange(ctx, &serverConn{Conn: conn, pool: &pool{}}, a, time.Second)
		if err := r.Result.Validate(); err != nil {
			t.Fatal(err)
		}
		namesAttempt := bytes.Contains(bytes.ToLower(raw), []byte("attempt")) || bytes.Contains(raw, []byte(`\u`))
		if r.Result.Status == request.Answered && !namesAttempt {
			t.Fatalf("answered by %q", raw)
		}
	})
}
