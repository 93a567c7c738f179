package requestpath_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"balsamfork/internal/fleet"
	"balsamfork/internal/request"
	"balsamfork/internal/requestpath"
)

// TestRequestsOfJoiningInstanceAreAnswered starts an instance that forwards requests
// before the others have it in their views, or while they have it as joining. Their
// views change all the time until they have it as alive: no request that they have
// accepted is given up, and no answer is lost.
func TestRequestsOfJoiningInstanceAreAnswered(t *testing.T) {
	for _, state := range []fleet.State{0, fleet.Joining} {
		t.Run(state.String(), func(t *testing.T) {
			runOnFleet(t, 3, 4, func(t *testing.T, is *is.I, s *testFleet) {
				old := *s.view
				s.startJoining(uint64(time.Now().UnixMilli()))
				if state != 0 {
					joining := s.view.Instances[3]
					joining.State = state
					old.Instances = append(old.Instances[:3:3], joining)
				}
				var wg sync.WaitGroup
				for i := range 40 {
					wg.Go(func() {
						r := request.Request{
							Key:     request.Key{ID: fmt.Sprint("k", i), Created: time.Now().UnixMilli(), Home: "a"},
							Service: "orders", Method: "m", TimeoutMs: 4000, Repeatable: i%2 == 0,
						}
						is.Equal(s.paths[3].Do(t.Context(), &r).Status, request.Answered)
					})
					time.Sleep(5 * time.Millisecond)
					for _, p := range s.paths[:3] {
						v := old
						v.Epoch += uint64(i) + 1
						p.SetView(&v)
					}
				}
				for _, p := range s.paths[:3] {
					p.SetView(s.view)
				}
				wg.Wait()
				is.Equal(s.counts().Repeated, 0)
			})
		})
	}
}

// TestForwardedRequestWithoutResultIsNotRefused loses all results between instances:
// a repeatable request that has run is reported as unknown, never as refused.
func TestForwardedRequestWithoutResultIsNotRefused(t *testing.T) {
	runOnFleet(t, 3, 2, func(t *testing.T, is *is.I, s *testFleet) {
		forwarded := 0
		for i := range 20 {
			s.mesh.FailNext("request.result", 1000)
			before := s.counts().Started
			r := request.Request{
				Key:     request.Key{ID: fmt.Sprint("k", i), Created: time.Now().UnixMilli(), Home: "a"},
				Service: "orders", Method: "m", TimeoutMs: 300, Repeatable: true,
			}
			res := s.paths[0].Do(t.Context(), &r)
			if res.Status != request.Answered {
				forwarded++
				is.Equal(s.counts().Started, before+1)
				is.Equal(res, request.UnknownResult(request.DeadlinePassed))
			}
		}
		is.True(forwarded >= 5)
	})
}

// TestCancelledRequestIsReportedAsCancelled cancels requests that run at a backend
// server, owned by this instance or forwarded to another: the reason is "cancelled".
func TestCancelledRequestIsReportedAsCancelled(t *testing.T) {
	runOnFleet(t, 3, 4, func(t *testing.T, is *is.I, s *testFleet) {
		for _, w := range s.workers {
			w.SetCold(true)
		}
		conn := s.rpc(t, is)
		defer conn.Close()
		for i := range 12 {
			id := fmt.Sprint("k", i)
			params := request.Request{
				Key:     request.Key{ID: id, Created: time.Now().UnixMilli(), Home: "a"},
				Service: "orders", Method: "m", TimeoutMs: 3000, Repeatable: true,
			}
			wait, err := conn.DispatchCall(t.Context(), "request.do", params)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			is.NoErr(conn.Notify(t.Context(), "request.cancel", requestpath.CancelParams{ID: id}))
			var raw json.RawMessage
			is.NoErr(wait.Wait(t.Context(), &raw))
			res, err := request.DecodeResult(raw)
			is.NoErr(err)
			is.Equal(res.Reason, request.Cancelled)
			is.Equal(res.Status, request.Unknown)
			time.Sleep(time.Second)
		}
	})
}

// rpc returns a connection of a caller to the first instance.
func (s *testFleet) rpc(t *testing.T, is *is.I) *jsonrpc2.Conn {
	c, err := s.dial(t.Context(), address(0))
	is.NoErr(err)
	return jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(c), jsonrpc2.HandlerWithError(noRequests))
}

func noRequests(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) { return nil, nil }
