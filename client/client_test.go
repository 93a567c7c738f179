package client_test

import (
	"context"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/client"
	"balsamfork/internal/request"
	"balsamfork/internal/requestpath"
	"balsamfork/internal/standin/memnet"
)

// fakeInstance is a test double of an instance. It gives one of its answers to each
// copy of a request, in order.
type fakeInstance struct {
	mu      sync.Mutex
	answers []func(conn *jsonrpc2.Conn, req *jsonrpc2.Request)
	copies  []request.Request
	cancels int
}

func (i *fakeInstance) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch req.Method {
	case "request.home":
		_ = conn.Reply(ctx, req.ID, requestpath.HomeResult{Home: "a", Now: time.Now().Add(time.Hour).UnixMilli()})
	case "request.cancel":
		i.cancels++
	case "request.do":
		r, err := request.DecodeRequest(*req.Params)
		if err != nil {
			panic(err)
		}
		i.copies = append(i.copies, r)
		answer := i.answers[0]
		i.answers = i.answers[1:]
		answer(conn, req)
	}
}

func (i *fakeInstance) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(c), i, jsonrpc2.SetLogger(log.New(io.Discard, "", 0)))
	}
}

func reply(r request.Result) func(*jsonrpc2.Conn, *jsonrpc2.Request) {
	return func(conn *jsonrpc2.Conn, req *jsonrpc2.Request) { _ = conn.Reply(context.Background(), req.ID, r) }
}

func closeConn(conn *jsonrpc2.Conn, _ *jsonrpc2.Request) { go conn.Close() }
func noAnswer(_ *jsonrpc2.Conn, _ *jsonrpc2.Request)     {}
func invalidParams(conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	_ = conn.ReplyWithError(context.Background(), req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "key.id"})
}

// TestResend checks resends and retries for each way in which an instance can answer
// a copy of a request. The client tries the first of two instances first.
func TestResend(t *testing.T) {
	done := reply(request.Result{Status: request.Answered, Value: []byte("7")})
	type answers = []func(*jsonrpc2.Conn, *jsonrpc2.Request)
	for name, c := range map[string]struct {
		first, second answers
		repeatable    bool
		copies        int
		retries       int64
		class         interface{ Has(error) bool }
	}{
		"answered":                         {first: answers{done}, copies: 1},
		"fault":                            {first: answers{reply(request.Result{Status: request.Answered, Fault: &request.Fault{Code: 1}})}, copies: 1, class: &client.Fault},
		"refused":                          {first: answers{reply(request.RefusedResult(request.Overloaded))}, copies: 1, class: &client.Refused},
		"answer lost":                      {first: answers{reply(request.UnknownResult(request.AnswerLost))}, copies: 1, class: &client.Unknown},
		"invalid":                          {first: answers{invalidParams}, copies: 1, class: &client.Invalid},
		"stopping":                         {first: answers{reply(request.UnknownResult(request.Stopping))}, second: answers{done}, copies: 2},
		"broken":                           {first: answers{closeConn}, second: answers{done}, copies: 2},
		"broken, then refused":             {first: answers{closeConn}, second: answers{reply(request.RefusedResult(request.Overloaded))}, copies: 2, class: &client.Refused},
		"repeatable, broken, then refused": {first: answers{closeConn}, second: answers{reply(request.RefusedResult(request.Overloaded))}, copies: 2, repeatable: true, class: &client.Unknown},
		"key not decided":                  {first: answers{reply(request.RefusedResult(request.KeyUndecided)), reply(request.RefusedResult(request.KeyUndecided)), done}, copies: 3, retries: 2},
		"no server":                        {first: answers{reply(request.RefusedResult(request.NoServer)), reply(request.RefusedResult(request.Overloaded))}, copies: 2, retries: 1, class: &client.Refused},
		"silence":                          {first: answers{noAnswer}, copies: 1, class: &client.Unknown},
		"truncated result":                 {first: answers{reply(request.Result{Status: request.Answered})}, second: answers{done}, copies: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var n memnet.Net
				instances := []*fakeInstance{{answers: c.first}, {answers: c.second}}
				for i, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
					l := n.Listen(address)
					defer l.Close()
					go instances[i].serve(l)
				}
				cl := client.New("10.0.0.1:1", "10.0.0.2:1")
				cl.Dial = n.Dial
				var v int
				err := cl.Do(t.Context(), client.Request{Service: "s", Method: "m", Repeatable: c.repeatable}, &v)
				if c.class == nil {
					is.NoErr(err)
					is.Equal(v, 7)
				} else {
					is.True(c.class.Has(err))
				}
				is.Equal(cl.Retries(), c.retries)
				is.NoErr(cl.Close())
				synctest.Wait()
				copies := append(instances[0].copies, instances[1].copies...)
				is.Equal(len(copies), c.copies)
				keys := make(map[request.Key]bool)
				for _, r := range copies {
					keys[r.Key] = true
					is.Equal(r.Key.Home, "a")
					is.True(r.Key.CreatedAt() > time.Now().Add(50*time.Minute).UnixNano()) // Created is a time of the instance's clock, one hour ahead
				}
				is.Equal(len(keys), 1+int(c.retries)) // copies share a key, each retry has a new one
				is.Equal(instances[0].cancels == 1, name == "silence")
			})
		})
	}
}

// TestBoundRetries refuses every request and checks that the retries stay within a
// tenth of the requests plus the initial budget of a new client, so that they cannot
// amplify an overload.
func TestBoundRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n memnet.Net
		l := n.Listen("10.0.0.1:1")
		defer l.Close()
		refuse := reply(request.RefusedResult(request.KeyUndecided))
		in := &fakeInstance{answers: slices.Repeat([]func(*jsonrpc2.Conn, *jsonrpc2.Request){refuse}, 1000)}
		go in.serve(l)
		cl := client.New("10.0.0.1:1")
		cl.Dial = n.Dial
		for range 200 {
			is.True(client.Refused.Has(cl.Do(t.Context(), client.Request{Service: "s", Method: "m"}, nil)))
		}
		is.Equal(len(in.copies), 200+int(cl.Retries()))
		is.True(cl.Retries() <= 200/10+10)
		is.NoErr(cl.Close())
	})
}

// TestNoInstanceReachable checks that a request is reported as Refused, not Unknown,
// if it was never sent.
func TestNoInstanceReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		cl := client.New("10.0.0.1:1")
		cl.Dial = n.Dial
		is.New(t).True(client.Refused.Has(cl.Do(t.Context(), client.Request{Service: "s", Method: "m"}, nil)))
	})
}

// TestClosedClientSendsNothing closes a client: later requests are refused at once, and no
// connection is opened for them.
func TestClosedClientSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dialled := 0
		cl := client.New("10.0.0.1:1", "10.0.0.2:1")
		cl.Dial = func(context.Context, string) (net.Conn, error) {
			dialled++
			return nil, net.ErrClosed
		}
		is.NoErr(cl.Close())
		began := time.Now()
		err := cl.Do(t.Context(), client.Request{Service: "s", Method: "m"}, nil)
		is.True(client.Refused.Has(err))
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(dialled, 0)
	})
}
